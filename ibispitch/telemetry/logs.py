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
    """Writes messages as lines of JSON.

    :param stream: file that the lines are written to.
    :param min_severity: lowest severity that is written.
    """

    def __init__(self, stream, min_severity: Severity):
        self._stream = stream
        self._min_severity = min_severity

    def __call__(self, message: dict[str, Any]) -> None:
        name = message.get('severity', 'info').upper()
        if Severity[name] >= self._min_severity:
            self._stream.write(
                msgspec.json.encode(message, enc_hook=repr) + b'\n'
            )
            self._stream.flush()


def setup_logs(settings: LogSettings, process: str) -> None:
    """Send the log lines of this process to the configured destination.

    :param settings: log file and lowest severity.
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
    :param event: name of the event, for example ``membership.lost``.
    :param fields: further values, which must be representable in JSON.
    """
    eliot.log_message(
        message_type=event, severity=severity.name.lower(), **fields
    )
