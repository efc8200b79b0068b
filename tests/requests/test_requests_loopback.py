"""Gates with sockets: moved feeds, successors and lost upstreams."""

import asyncio
import contextlib
import json
import time

from aiocoap.numbers.codes import GET

from ibispitch.caller import CallerSession
from ibispitch.caller import NotRun
from ibispitch.caller import Result
from ibispitch.ids import Address
from ibispitch.ids import flow_id
from tests.requests.fakes import make_gate
from tests.requests.loopback import free_address
from tests.requests.loopback import LoopbackAgent
from tests.requests.loopback import running_agent
from tests.requests.loopback import running_upstream


@contextlib.contextmanager
def collected(iterator):
    changes = []

    async def collect():
        async for payload in iterator:
            changes.append(json.loads(payload))

    task = asyncio.create_task(collect())
    try:
        yield changes
    finally:
        task.cancel()


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


async def test_feed_moves_without_a_new_registration():
    """Feeds must move to another agent without a new registration."""
    local = Address(*free_address())
    async with (
        running_upstream('u1') as one,
        running_upstream('u2') as two,
        running_agent(make_gate(1), one) as agent,
        CallerSession(Address(*agent.address), local) as session,
    ):
        with collected(session.observe(('feed',))) as changes:
            await until(lambda: len(changes) > 2)
            first = await session.request(('submit',), request_id=b'before-1')
            new = LoopbackAgent(make_gate(2), two.address, agent.callers)
            now = agent.loop.time()
            data, effects = agent.gate.export_flow(flow_id(local), now)
            agent.apply_effects(effects)
            new.apply_effects(new.gate.adopt_flow(data, now))
            await until(lambda: changes[-1]['upstream'] == 'u2')
            seen = len(changes)
            await until(lambda: len(changes) > seen + 2)
            # The new owner accepts the Echo value of the former one, and
            # uses its records.
            again = await session.request(('submit',), request_id=b'before-1')
            after = await session.request(('submit',))
            assert again == first
            assert json.loads(after.payload)['upstream'] == 'u2'
            await until(lambda: not one.counts['observers'])
        assert one.counts['run'] + two.counts['run'] == 2
        new.stop()


async def test_successor_process_answers_running_requests():
    """The replacement of an agent process must not lose requests or feeds."""
    async with (
        running_upstream(service_s=0.3) as upstream,
        running_agent(make_gate(1), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
    ):
        with collected(session.observe(('feed',))) as changes:
            await until(lambda: changes)
            pending = asyncio.create_task(session.request(('submit',)))
            await until(lambda: upstream.running)
            successor = make_gate(2)
            now = agent.loop.time()
            successor.restore(agent.gate.export(now), now)
            agent.gate = successor
            assert isinstance(await pending, Result)
            seen = len(changes)
            await until(lambda: len(changes) > seen + 2)
        assert upstream.counts['run'] == 1


async def test_request_to_lost_upstream_is_answered_at_once():
    """Without an upstream socket, a POST must get "not run" at once."""
    async with (
        running_upstream() as upstream,
        running_agent(make_gate(1), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
    ):
        agent.upstream_address = free_address()
        started = time.monotonic()
        assert isinstance(await session.request(('submit',)), NotRun)
        assert time.monotonic() - started < 0.5


async def test_upstream_sheds_drains_and_obeys_commands():
    """If a cold or draining upstream sheds, the gate must answer "not run"."""
    async with (
        running_upstream(service_s=0.8, slots=1) as upstream,
        running_agent(make_gate(1), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
        CallerSession(Address(*upstream.address)) as control,
    ):

        async def command(**fields):
            payload = json.dumps(fields).encode()
            return await control.request(('_control',), payload=payload)

        sent = [session.request(('submit',)) for _ in range(4)]
        outcomes = await asyncio.gather(*sent)
        assert sum(isinstance(o, Result) for o in outcomes) == 2
        assert sum(isinstance(o, NotRun) for o in outcomes) == 2
        assert (await command(command='drain')).is_success
        assert isinstance(await session.request(('status',), code=GET), NotRun)
        await command(command='undrain')
        assert (await session.request(('status',), code=GET)).is_success
        assert not (await command(command='unknown')).is_success
        upstream.capacity.ramp_s = 10.0
        await command(command='cold')
        statistics = await control.request(('_control',), code=GET)
        fields = json.loads(statistics.payload)
        assert fields['capacity'] < 0.2
        assert (fields['shed'], fields['doubled']) == (3, [])
