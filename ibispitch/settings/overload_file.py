"""Reads the file with the settings of the decisions under overload.

The keys, ranges and defaults are those of :mod:`ibispitch.settings.overload`.
"""

from pathlib import Path
from typing import Any
from typing import get_type_hints

import msgspec

from ibispitch.settings.documents import decode_struct
from ibispitch.settings.documents import read_text
from ibispitch.settings.overload import OverloadSettings


def _section_struct(section: type) -> type[msgspec.Struct]:
    """Return the type of a section in the file."""
    fields = [
        (key, hint, section._field_defaults[key])
        for key, hint in get_type_hints(section, include_extras=True).items()
    ]
    return msgspec.defstruct(
        section.__name__, fields, forbid_unknown_fields=True, frozen=True
    )


def _file_struct() -> type[msgspec.Struct]:
    """Return the type of the whole file; sections may be left out."""
    fields: list[tuple[str, Any, Any]] = []
    for key, section in get_type_hints(OverloadSettings).items():
        struct = _section_struct(section)
        fields.append((key, struct, msgspec.field(default_factory=struct)))
    return msgspec.defstruct(
        'OverloadFile', fields, forbid_unknown_fields=True, frozen=True
    )


def parse_overload_settings(text: str, file: str) -> OverloadSettings:
    """Decode and check the text of the file.

    :param text: JSON with comments.
    :param file: path of the file for error messages.
    :raises SettingsFileError: if a setting is invalid.
    """
    values = decode_struct(text, file, _file_struct())
    return OverloadSettings(
        **{
            key: section(**msgspec.structs.asdict(getattr(values, key)))
            for key, section in get_type_hints(OverloadSettings).items()
        }
    )


def load_overload_settings(path: str | Path) -> OverloadSettings:
    """Read and check the file.

    :raises SettingsFileError: if it cannot be read or a setting is invalid.
    """
    return parse_overload_settings(read_text(path), str(path))
