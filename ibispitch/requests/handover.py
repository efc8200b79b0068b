"""State that is handed to another owner or to a successor process."""

import msgspec

from ibispitch.ids import FlowId
from ibispitch.requests.callers import CallerState
from ibispitch.requests.echo import EchoState
from ibispitch.requests.echo import HeldValues
from ibispitch.requests.feeds import FeedState
from ibispitch.requests.feeds import Observation
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import Site
from ibispitch.requests.records import DelegatedRunState
from ibispitch.requests.records import Record
from ibispitch.requests.records import RecordState
from ibispitch.requests.upstreams import UpstreamState

Due = list[tuple[float, tuple[str, bytes]]]


class FlowExport(msgspec.Struct, array_like=True):
    """A flow on its way to another owner.

    :param export_id: unique, so that a second copy is recognised.
    :param now: clock of the former owner at the export, in seconds.
    :param echo_values: the Echo values that the new owner accepts.
    :param records: records of its requests.
    """

    export_id: bytes
    flow: FlowId
    now: float
    observations: list[Observation]
    echo_values: list[HeldValues]
    records: dict[bytes, Record]


class Snapshot(msgspec.Struct, array_like=True):
    """The state of a gate for a successor on the same host.

    Times are on the clock that both processes share.
    """

    echo: EchoState
    records: RecordState
    runs: DelegatedRunState
    callers: CallerState
    caller_timers: Due
    upstreams: UpstreamState
    upstream_timers: Due
    feeds: FeedState
    jobs: list[Job]
    sites: dict[bytes, Site]
    timers: Due
    adopted: dict[bytes, float]
