"""State that is handed over to another owner or to a successor process."""

import msgspec

from ibispitch.ids import FlowId
from ibispitch.requests.callers import CallerState
from ibispitch.requests.echo import EchoRange
from ibispitch.requests.echo import EchoState
from ibispitch.requests.feeds import FeedState
from ibispitch.requests.feeds import Observation
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import Site
from ibispitch.requests.records import DelegatedRunState
from ibispitch.requests.records import Record
from ibispitch.requests.records import RecordState
from ibispitch.requests.upstreams import UpstreamState

DueTimes = list[tuple[float, tuple[str, bytes]]]


class FlowExport(msgspec.Struct, array_like=True):
    """A flow and its state, which are handed over to another owner.

    :param export_id: unique id, by which a second copy is recognised.
    :param now: clock of the former owner at the export, in seconds.
    :param echo_values: Echo values that the new owner accepts.
    :param records: records of the requests of the flow.
    """

    export_id: bytes
    flow: FlowId
    now: float
    observations: list[Observation]
    echo_values: list[EchoRange]
    records: dict[bytes, Record]


class Snapshot(msgspec.Struct, array_like=True):
    """State of a gate, for a successor process on the same host.

    Times refer to the clock that both processes share.
    """

    echo: EchoState
    records: RecordState
    runs: DelegatedRunState
    callers: CallerState
    caller_timers: DueTimes
    upstreams: UpstreamState
    upstream_timers: DueTimes
    feeds: FeedState
    jobs: list[Job]
    sites: dict[bytes, Site]
    timers: DueTimes
    adopted: dict[bytes, float]
