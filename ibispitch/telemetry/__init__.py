"""Logs and metrics of a process.

Regular events are counted; log lines are written only for changes of state.
The counters belong to one process.
"""

from ibispitch.telemetry.logs import log
from ibispitch.telemetry.logs import setup_logs
from ibispitch.telemetry.logs import Severity
from ibispitch.telemetry.metrics import Metrics

__all__ = ['Metrics', 'Severity', 'log', 'setup_logs']
