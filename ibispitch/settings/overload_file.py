"""Reads the file with the settings of the decisions under overload.

The keys, ranges and defaults are those of :mod:`ibispitch.settings.overload`.
"""

import ipaddress
from pathlib import Path
from typing import Any
from typing import get_type_hints

import msgspec

from ibispitch.settings.documents import decode_struct
from ibispitch.settings.documents import read_text
from ibispitch.settings.documents import SettingValueError
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import Weight

#: Keys that are objects in the file and tuples of pairs in the settings, with
#: the type of the object.
OBJECT_TYPE_BY_KEY: dict[str, Any] = {'weight_by_network': dict[str, Weight]}


def _check_networks(section: msgspec.Struct) -> None:
    for network in getattr(section, 'weight_by_network', ()):
        try:
            ipaddress.IPv4Network(network)
        except ValueError as error:
            raise SettingValueError(
                f'weight_by_network.{network}',
                f'{error}; write an IPv4 network like 192.0.2.0/24',
            ) from error


def _section_struct(section: type) -> type[msgspec.Struct]:
    """Return the type of a section in the file."""
    fields: list[tuple[str, Any, Any]] = []
    for key, hint in get_type_hints(section, include_extras=True).items():
        if key in OBJECT_TYPE_BY_KEY:
            default = msgspec.field(default_factory=dict)
            fields.append((key, OBJECT_TYPE_BY_KEY[key], default))
        else:
            fields.append((key, hint, section._field_defaults[key]))
    return msgspec.defstruct(
        section.__name__, fields, forbid_unknown_fields=True, frozen=True,
        namespace={'__post_init__': _check_networks},
    )  # fmt: skip


def _file_struct() -> type[msgspec.Struct]:
    """Return the type of the whole file; sections may be left out."""
    fields: list[tuple[str, Any, Any]] = []
    for key, section in get_type_hints(OverloadSettings).items():
        struct = _section_struct(section)
        fields.append((key, struct, msgspec.field(default_factory=struct)))
    return msgspec.defstruct(
        'OverloadFile', fields, forbid_unknown_fields=True, frozen=True
    )


def _to_section(section: type, values: msgspec.Struct) -> Any:
    by_key = msgspec.structs.asdict(values)
    for key in by_key.keys() & OBJECT_TYPE_BY_KEY.keys():
        by_key[key] = tuple(by_key[key].items())
    return section(**by_key)


def parse_overload_settings(text: str, file: str) -> OverloadSettings:
    """Decode and check the text of the file.

    :param text: JSON with comments.
    :param file: path of the file for error messages.
    :raises SettingsFileError: if a setting is invalid.
    """
    values = decode_struct(text, file, _file_struct())
    return OverloadSettings(
        **{
            key: _to_section(section, getattr(values, key))
            for key, section in get_type_hints(OverloadSettings).items()
        }
    )


def load_overload_settings(path: str | Path) -> OverloadSettings:
    """Read and check the file.

    :raises SettingsFileError: if it cannot be read or a setting is invalid.
    """
    return parse_overload_settings(read_text(path), str(path))
