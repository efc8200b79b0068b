"""Structured log lines through eliot."""

import enum
import sys
from typing import Any

import eliot
import msgspec

from ibispitch.settings.programs import LogSettings


class Severity(enum.IntEnum):
    """Severity of a log line."""

    DEBUG = 0
    INFO = 1
    WARNING = 2
    ERROR = 3


class _Destination:
    """Writes messages of at least a severity to a file, one JSON a line."""

    def __init__(self, stream, least: Severity):
        self._stream = stream
        self._least = least

    def __call__(self, message: dict[str, Any]) -> None:
        name = message.get('severity', 'info').upper()
        if Severity[name] >= self._least:
            self._stream.write(
                msgspec.json.encode(message, enc_hook=repr) + b'\n'
            )
            self._stream.flush()


def setup_logs(settings: LogSettings, process: str) -> None:
    """Send the log lines of this process to the configured destination.

    :param settings: file and least severity.
    :param process: name of the process, added to each line.
    :raises OSError: if the log file cannot be opened.
    """
    if settings.file == '-':
        stream = sys.stderr.buffer
    else:
        stream = open(settings.file, 'ab')
    eliot.add_global_fields(process=process)
    eliot.add_destinations(
        _Destination(stream, Severity[settings.level.upper()])
    )


def log(severity: Severity, event: str, **fields: Any) -> None:
    """Write a log line for a change of state.

    :param severity: severity of the line.
    :param event: ``slice.event``, for example ``membership.lost``.
    :param fields: values that JSON can hold.
    """
    eliot.log_message(
        message_type=event, severity=severity.name.lower(), **fields
    )
