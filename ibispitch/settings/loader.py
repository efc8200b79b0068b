"""Reads and checks settings files."""

from pathlib import Path
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from ibispitch.settings.documents import decode_struct
from ibispitch.settings.documents import read_text
from ibispitch.settings.documents import SettingsError
from ibispitch.settings.documents import SettingsFileError
from ibispitch.settings.documents import SettingValueError

__all__ = [
    'SettingValueError',
    'SettingsError',
    'load_settings',
    'parse_struct',
]

T = TypeVar('T')


def parse_struct(text: str, file: str, settings_type: type[T]) -> Result:
    """Parse and check the text of a settings file.

    :param text: JSON with comments.
    :param file: path of the file for error messages.
    :param settings_type: a ``msgspec.Struct`` with
        ``forbid_unknown_fields=True``.
    :returns: ``Ok`` of the settings or ``Error`` of :class:`SettingsError`.
    """
    try:
        return Ok(decode_struct(text, file, settings_type))
    except SettingsFileError as fault:
        return Error(fault.reason)


def load_settings(path: str | Path, settings_type: type[T]) -> Result:
    """Read and check a settings file.

    :param path: the file.
    :param settings_type: see :func:`parse_struct`.
    :returns: ``Ok`` of the settings or ``Error`` of :class:`SettingsError`.
    """
    try:
        text = read_text(path)
    except SettingsFileError as fault:
        return Error(fault.reason)
    return parse_struct(text, str(path), settings_type)
