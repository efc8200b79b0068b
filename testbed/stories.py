"""Writes the logs of the failed requests that docs/OPERATIONS.md explains.

``python -m testbed.stories DIRECTORY`` runs a small deployment in simulated
time for each kind of failure and writes the log lines of all its processes.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from pathlib import Path
import sys
from typing import NamedTuple

from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import RetrySettings
from ibispitch.settings.overload import SchedulingSettings
from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.simulated_loop import simulate

#: Settings of the script on overload; the others run without them.
OVERLOAD = OverloadSettings(
    scheduling=SchedulingSettings(Mode.ON), retries=RetrySettings(Mode.ON)
)


class Story(NamedTuple):
    """A failed request, its flow and the log lines of the deployment."""

    request: str
    flow: str
    lines: list[dict]


Script = Callable[[FlowNetwork], Awaitable[Story]]
SCRIPT_BY_NAME: dict[str, Script] = {}


def script(run: Script) -> Script:
    """Register a script under the name of its function."""
    SCRIPT_BY_NAME[run.__name__] = run
    return run


def _collect_story(network: FlowNetwork, request) -> Story:
    lines = [
        line for host in network.host_by_ip.values() for line in host.log_lines
    ]
    lines.sort(key=lambda line: line['time'])
    return Story(request.name, str(request.flows[0]), lines)


@script
async def frozen(network: FlowNetwork) -> Story:
    """A quote that timed out at an upstream that had frozen."""
    caller = network.add_caller('accra', QUOTE)
    caller.ask()
    await asyncio.sleep(0.006)
    for host in network.agents:
        host.upstream.is_frozen = True
    await asyncio.sleep(5)
    return _collect_story(network, caller.requests[0])


@script
async def ended(network: FlowNetwork) -> Story:
    """A feed that was reset because its upstream had crashed."""
    caller = network.add_caller('accra', FEED, is_long=True)
    caller.ask()
    await asyncio.sleep(0.5)
    holder = next(
        host
        for host in network.agents
        if host.upstream.holds(caller._long_flow.address)
    )
    holder.upstream.crash()
    network.start_upstream(holder, cold_s=2.0)
    await asyncio.sleep(0.5)
    caller.ask()
    await asyncio.sleep(3)
    return _collect_story(network, caller.requests[-1])


@script
async def refused(network: FlowNetwork) -> Story:
    """A quote that was refused in a burst above all slots."""
    network.work_s = 0.2
    for _, upstream in network.upstreams:
        upstream.work_s = 0.2
    callers = [network.add_caller('accra', QUOTE) for _ in range(60)]
    await network.send_requests(callers, 60, 2)
    await asyncio.sleep(3)
    failed = (
        _collect_story(network, request)
        for caller in callers
        for request in caller.requests
        if request.outcome is Outcome.FAILED and request.asked_at > 4.0
    )
    # The flows of other failed requests were not placed in time.
    return next(story for story in failed if _was_reset(story))


@script
async def overload(network: FlowNetwork) -> Story:
    """A request that its agent held, and the restart of all upstreams."""
    feeds = [
        network.add_caller('accra', FEED, is_long=True) for _ in range(20)
    ]
    quotes = [network.add_caller('accra', QUOTE) for _ in range(20)]
    await network.send_requests(feeds, 20, 4)
    for _, upstream in network.upstreams:
        upstream.work_s = 0.2
    await network.send_requests([*feeds, *quotes], 60, 3)
    for host in network.agents:
        host.upstream.crash()
        network.start_upstream(host, cold_s=2.0)
    await network.send_requests([*feeds, *quotes], 30, 2)
    await asyncio.sleep(3)
    requests = (
        request for caller in (*quotes, *feeds) for request in caller.requests
    )
    stories = (_collect_story(network, request) for request in requests)
    return next(story for story in stories if _has(story, 'request.held'))


def _has(story: Story, event: str) -> bool:
    return any(
        line['event'] == event and line['flow'].startswith(f'{story.flow}>')
        for line in story.lines
    )


def _was_reset(story: Story) -> bool:
    return any(
        line['event'] == 'flow.reset'
        and line['flow'].startswith(f'{story.flow}>')
        for line in story.lines
    )


def run_story(name: str) -> Story:
    """Run the script of a failure and return its story.

    :param name: ``frozen``, ``ended``, ``refused`` or ``overload``.
    """

    async def work(loop):
        network = FlowNetwork(
            loop, {'accra': 2}, [('accra', 'counter')] * 2, seed=5
        )
        if name == 'overload':
            network.overload = OVERLOAD
        network.configure(1, (FEED, QUOTE))
        await network.start()
        return await SCRIPT_BY_NAME[name](network)

    return simulate(work)


def main(directory: str) -> None:
    """Write the log lines of all stories to a directory."""
    for name in SCRIPT_BY_NAME:
        story = run_story(name)
        path = Path(directory) / f'{name}.jsonl'
        path.write_text(''.join(json.dumps(ln) + '\n' for ln in story.lines))
        print(f'{path}: request {story.request}, flow {story.flow}')


if __name__ == '__main__':
    main(*sys.argv[1:])
