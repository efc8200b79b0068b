"""Selection of the log lines of several processes on one flow or request.

Lines are sorted by the wall clocks of the hosts. If these differ, lines may
be in the wrong order by the difference.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from ibispitch.decoding import decode_json

#: Time before and after the lines of a flow in which changes of its agent and
#: of the logging processes are selected as well.
CONTEXT_S = 5.0
#: Prefixes of events that name no flow but may explain what happened to one.
CONTEXT_EVENTS = (
    'process.', 'upstream.', 'fleet.agent', 'store.', 'routes.changed',
    'flows.', 'log.left_out',
)  # fmt: skip


class Line(NamedTuple):
    """A log line.

    :param time: Unix time in seconds.
    :param process: name of the process.
    :param event: name of the event.
    :param inputs: the values on which the decision was based, by name.
    """

    time: float
    process: str
    event: str
    inputs: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the log lines; other output is skipped.

    A line may have a prefix, for example of a log collector.

    >>> read_lines(['x {"time": 1.5, "process": "p", "event": "e", "a": 1}'])
    [Line(time=1.5, process='p', event='e', inputs={'a': 1})]
    >>> read_lines(['no line', '{"time": "?"}'])
    []
    """
    lines = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            raw = decode_json(text[start:])
            line = Line(
                float(raw.pop('time')),
                str(raw.pop('process')),
                str(raw.pop('event')),
                raw,
            )
        except (
            ValueError, KeyError, TypeError, AttributeError, OverflowError,
        ):  # fmt: skip
            continue
        line.inputs.pop('at', None)
        lines.append(line)
    return lines


def related_lines(lines: list[Line], name: str) -> list[Line]:
    """Return the lines on a flow or request, sorted by time.

    :param lines: lines of any processes.
    :param name: a flow as the lines show it, its caller's address and port,
        or the id of a request.
    :returns: its lines and those on changes of the processes involved at the
        same time; empty if there is no line on it.
    """
    requests = [ln for ln in lines if ln.inputs.get('request') == name]
    flows = {ln.inputs['flow'] for ln in requests if 'flow' in ln.inputs}
    flows |= {
        flow
        for line in lines
        if (flow := line.inputs.get('flow'))
        and (flow == name or flow.startswith(f'{name}>'))
    }
    own = [line for line in lines if line.inputs.get('flow') in flows]
    if not own:
        return []
    first = min(line.time for line in own) - CONTEXT_S
    last = max(line.time for line in own) + CONTEXT_S
    agents = {line.inputs.get('agent') for line in own} - {None}
    processes = {line.process for line in own}
    context = [
        line
        for line in lines
        if line.event.startswith(CONTEXT_EVENTS)
        and 'flow' not in line.inputs
        and first <= line.time <= last
        and (
            line.inputs.get('agent') in agents
            or line.inputs.get('ip') in agents
            or (
                line.process in processes
                and not line.event.startswith('fleet.')
            )
        )
    ]
    return sorted(own + context, key=lambda line: line.time)
