"""Decodes settings files; used by all programs.

The agent of the prepared platform reads a file with this module when it
starts again. It therefore raises errors: the import of ``expression`` for
results would take longer than all others together.
"""

from pathlib import Path
import re
from typing import Any
from typing import TypeVar

import msgspec
import pyjson5

T = TypeVar('T')

#: Settings whose values must not appear in error messages.
SECRET_KEYS = ('token', 'shared_keys')

_PATH_PATTERN = re.compile(r' - at `\$\.?(?P<path>[^`]*)`$')
_UNKNOWN_FIELD_PATTERN = re.compile(r'unknown field `(?P<name>[^`]*)`')
_MISSING_FIELD_PATTERN = re.compile(
    r'missing required field `(?P<name>[^`]*)`'
)


class SettingsError(msgspec.Struct, frozen=True):
    """Reason why a settings file was rejected.

    :param file: path of the file.
    :param key: dotted path of the setting, empty if there is none.
    :param value: the value in the file, ``None`` if missing or secret.
    :param remedy: what to change.
    """

    file: str
    key: str
    value: Any
    remedy: str

    def __str__(self):
        key = f'{self.key}: ' if self.key else ''
        value = '' if self.value is None else f'{self.value!r}: '
        return f'{self.file}: {key}{value}{self.remedy}'


class SettingsFileError(Exception):
    """A settings file was rejected.

    :param reason: the file, the key and the remedy.
    """

    def __init__(self, reason: SettingsError):
        super().__init__(str(reason))
        self.reason = reason


class SettingValueError(ValueError):
    """A setting is invalid; raised by ``__post_init__`` of settings types.

    :param key: name of the setting in its structure.
    :param remedy: what to change.
    """

    def __init__(self, key: str, remedy: str):
        super().__init__(f'{key}\0{remedy}')


def _value_at(document: Any, path: str) -> Any:
    value = document
    for part in re.findall(r'[^.\[\]]+', path):
        if part == '...':
            return None
        try:
            value = value[int(part) if part.isdigit() else part]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def _value_to_show(document: Any, key: str) -> Any:
    """Return the value of a setting, ``None`` if missing or secret."""
    if any(secret in key for secret in SECRET_KEYS):
        return None
    return _value_at(document, key)


def _join_key(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _key_value_and_remedy(
    error: Exception, document: Any
) -> tuple[str, Any, str]:
    text = str(error)
    found = _PATH_PATTERN.search(text)
    path = found['path'] if found else ''
    text = _PATH_PATTERN.sub('', text)
    if '\0' in text:
        name, text = text.split('\0', 1)
        key = _join_key(path, name)
        return key, _value_to_show(document, key), text
    unknown = _UNKNOWN_FIELD_PATTERN.search(text)
    if unknown:
        key = _join_key(path, unknown['name'])
        remedy = 'unknown key; remove it or correct its name'
        return key, _value_to_show(document, key), remedy
    missing = _MISSING_FIELD_PATTERN.search(text)
    if missing:
        return _join_key(path, missing['name']), None, 'missing; add this key'
    remedy = text[:1].lower() + text[1:]
    return path, _value_to_show(document, path), f'{remedy}; correct the value'


def decode_struct(text: str, file: str, settings_type: type[T]) -> T:
    """Decode and check the text of a settings file.

    :param text: JSON with comments.
    :param file: path of the file for error messages.
    :param settings_type: a ``msgspec.Struct`` with
        ``forbid_unknown_fields=True``.
    :raises SettingsFileError: if a setting is invalid.
    """
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        detail = error.message
        raise SettingsFileError(
            SettingsError(file, '', None, f'not JSON with comments: {detail}')
        ) from error
    try:
        return msgspec.convert(document, settings_type)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsFileError(
            SettingsError(file, *_key_value_and_remedy(error, document))
        ) from error


def read_text(path: str | Path) -> str:
    """Read a settings file.

    :raises SettingsFileError: if it cannot be read.
    """
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'not UTF-8 text'
        remedy = f'{reason}; give the path of a readable file'
        raise SettingsFileError(
            SettingsError(str(path), '', None, remedy)
        ) from error
