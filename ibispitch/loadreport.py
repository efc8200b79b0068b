"""Summary of the load in the log lines of several processes.

The lines are limited in rate, so that under overload the counts by service
are lower bounds. The totals by event include what was left out.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
import enum
from itertools import chain
from typing import NamedTuple

from ibispitch.story import Line

#: Shown where no line names the service, data centre or kind.
UNKNOWN = '-'
#: Openings that waited less than this were delayed by the network only.
MIN_WAIT_MS = 50
#: Share of a service's upstreams that must be cold for a wait to count for
#: the limits of cold upstreams.
COLD_SHARE = 0.5


class Group(NamedTuple):
    """What requests have in common in the report."""

    service: str
    datacentre: str
    kind: str


class Constraint(enum.Enum):
    """What keeps requests waiting."""

    SLOTS = 'slots'
    COLD_STARTS = 'cold starts'


class Waiting(NamedTuple):
    """Waits and refusals of a group.

    :param openings: openings placed after they had waited.
    :param held: requests that the scheduler held.
    :param late: held requests that were passed on late.
    :param expired: held requests that were dropped.
    :param longest_ms: longest wait of an opening or a request.
    :param refused: refused openings by reason.
    """

    group: Group
    openings: int
    held: int
    late: int
    expired: int
    longest_ms: int
    refused: dict[str, int]


class Spread(NamedTuple):
    """Openings by agent of a service in a data centre.

    :param agents: agents of which a line is known.
    :param over_mean: openings of the busiest agent over the mean.
    """

    service: str
    datacentre: str
    openings: int
    agents: int
    busiest: str
    over_mean: float


class Second(NamedTuple):
    """What kept requests of a service waiting in a second.

    :param time: Unix time of its beginning.
    :param count_by_constraint: waits and refusals by constraint.
    """

    time: int
    service: str
    count_by_constraint: dict[str, int]


class EventCount(NamedTuple):
    """Lines of an event, and those left out by the rate limit."""

    event: str
    lines: int
    left_out: int


class LoadReport(NamedTuple):
    """The whole report."""

    waiting: list[Waiting]
    spreads: list[Spread]
    seconds: list[Second]
    events: list[EventCount]

    @property
    def left_out(self) -> int:
        """Number of lines left out by the rate limit."""
        return sum(event.left_out for event in self.events)


class _Places:
    """Service, data centre and cold periods of the processes."""

    def __init__(self, lines: Iterable[Line]):
        self.service_by_process: dict[str, str] = {}
        self.datacentre_by_process: dict[str, str] = {}
        self.agents: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._states: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for line in lines:
            service = line.inputs.get('service')
            datacentre = line.inputs.get('datacentre')
            if line.event in ('process.started', 'upstream.state'):
                if service:
                    self.service_by_process[line.process] = service
                if datacentre:
                    self.datacentre_by_process[line.process] = datacentre
            if line.event == 'process.started' and service and datacentre:
                ip = line.inputs.get('ip', line.process)
                self.agents[service, datacentre].add(ip)
            elif line.event == 'upstream.state':
                cold_left_s = line.inputs.get('cold_left_s') or 0.0
                self._states[line.process].append(
                    (line.time, line.time + cold_left_s)
                )

    def group_of(self, line: Line) -> Group:
        """Return the group of a line."""
        return Group(
            line.inputs.get('service')
            or self.service_by_process.get(line.process, UNKNOWN),
            line.inputs.get('datacentre')
            or self.datacentre_by_process.get(line.process, UNKNOWN),
            line.inputs.get('kind') or UNKNOWN,
        )

    def constraint_at(self, service: str, time: float) -> Constraint:
        """Return what limits the openings of a service at a time."""
        states = [
            states
            for process, states in self._states.items()
            if self.service_by_process.get(process) == service
        ]
        cold = sum(
            any(start <= time < end for start, end in periods)
            for periods in states
        )
        if states and cold >= COLD_SHARE * len(states):
            return Constraint.COLD_STARTS
        return Constraint.SLOTS


def _constraint_of(
    line: Line, group: Group, places: _Places
) -> Constraint | None:
    """Return what a line shows to be scarce."""
    waited_ms = line.inputs.get('waited_ms') or 0
    match line.event:
        case 'request.held' | 'request.expired':
            return Constraint.SLOTS
        case 'flow.handed_back' if line.inputs.get('reason') != 'FULL':
            return None
        case 'flow.placed' if waited_ms < MIN_WAIT_MS:
            return None
        case 'flow.reset' if 'waited_ms' not in line.inputs:
            return None
        case (
            'flow.placed'
            | 'flow.reset'
            | 'flow.not_placed'
            | ('flow.handed_back')
        ):
            return places.constraint_at(group.service, line.time)
    return None


def _refusal_of(line: Line) -> str | None:
    """Return why an opening was refused; lines without kind are no openings.

    A reset of an open flow names neither service nor kind.
    """
    if line.event == 'flow.not_placed':
        return 'not placed'
    if line.event == 'flow.reset' and 'kind' in line.inputs:
        return line.inputs.get('why', UNKNOWN)
    return None


def _summarise(group: Group, lines: list[Line]) -> Waiting:
    counts = Counter(line.event for line in lines)
    waits_ms = [
        line.inputs.get('held_ms', line.inputs.get('waited_ms')) or 0
        for line in lines
    ]
    return Waiting(
        group,
        sum(
            line.event == 'flow.placed'
            and (line.inputs.get('waited_ms') or 0) >= MIN_WAIT_MS
            for line in lines
        ),
        counts['request.held'],
        sum(
            line.event == 'request.released'
            and bool(line.inputs.get('is_late'))
            for line in lines
        ),
        counts['request.expired'],
        max(waits_ms, default=0),
        dict(Counter(filter(None, map(_refusal_of, lines)))),
    )


def _spread(
    service: str, datacentre: str, counts: Counter[str], known: set[str]
) -> Spread:
    agents = known | counts.keys()
    busiest, most = counts.most_common(1)[0]
    return Spread(
        service, datacentre, counts.total(), len(agents), busiest,
        round(most * len(agents) / counts.total(), 2),
    )  # fmt: skip


def report_load(lines: Iterable[Line]) -> LoadReport:
    """Summarise the load.

    :param lines: log lines of any processes.
    """
    lines = list(lines)
    places = _Places(lines)
    lines_by_group: dict[Group, list[Line]] = defaultdict(list)
    openings: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    constraints: dict[tuple[int, str], Counter[str]] = defaultdict(Counter)
    left_out: Counter[str] = Counter()
    for line in lines:
        if line.event == 'log.left_out':
            left_out.update(
                {k: v for k, v in line.inputs.items() if isinstance(v, int)}
            )
            continue
        group = places.group_of(line)
        is_decision = line.event.startswith(('flow.', 'request.'))
        if is_decision and 'kind' in line.inputs:
            lines_by_group[group].append(line)
        if line.event == 'flow.placed' and not line.inputs.get('copy'):
            agent = str(line.inputs.get('agent'))
            openings[group.service, group.datacentre][agent] += 1
        constraint = _constraint_of(line, group, places)
        if constraint is not None:
            second = (int(line.time), group.service)
            constraints[second][constraint.value] += 1
    count_by_event = Counter(line.event for line in lines)
    events = sorted(set(chain(count_by_event, left_out)))
    return LoadReport(
        [_summarise(group, lines_by_group[group])
         for group in sorted(lines_by_group)],
        [_spread(*key, openings[key], places.agents.get(key, set()))
         for key in sorted(openings)],
        [Second(*key, dict(constraints[key])) for key in sorted(constraints)],
        [EventCount(event, count_by_event[event], left_out[event])
         for event in events],
    )  # fmt: skip
