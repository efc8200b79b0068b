"""A caller session through a gate to the stand-in upstream."""

import asyncio
import hashlib
import json

from aiocoap.numbers.codes import GET

from ibispitch.admission.types import Refuse
from ibispitch.caller import CallerSession
from ibispitch.caller import NotRun
from ibispitch.caller import Result
from ibispitch.caller import Unknown
from ibispitch.ids import Address
from tests.requests.fakes import make_gate
from tests.requests.loopback import running_agent
from tests.requests.loopback import running_upstream


async def test_outcomes():
    """Each kind of request gets its whole own answer, and runs once."""
    async with (
        running_upstream() as upstream,
        running_agent(make_gate(), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
    ):
        outcomes = await asyncio.gather(
            *(
                session.request(('submit',), payload=b'%d' % n)
                for n in range(10)
            )
        )
        for n, outcome in enumerate(outcomes):
            assert isinstance(outcome, Result), outcome
            fields = json.loads(outcome.payload)
            assert fields['sha256'] == hashlib.sha256(b'%d' % n).hexdigest()
            assert fields['runs'] == 1
        body = bytes(range(256)) * 40
        uploaded = json.loads((await session.upload(('scan',), body)).payload)
        assert uploaded['size'] == len(body)
        assert uploaded['sha256'] == hashlib.sha256(body).hexdigest()
        large = await session.request(
            ('large',), code=GET, query=('size=9001',)
        )
        assert len(large.payload) == 9001
        assert not upstream.statistics()['doubled']


async def test_not_run_and_unknown():
    """A refusal comes at once; a run past its deadline is unknown."""
    async with (
        running_upstream(service_s=0.6) as upstream,
        running_agent(make_gate(), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
    ):
        agent.gate.admission.script = [Refuse(3.0)]
        started = asyncio.get_running_loop().time()
        outcome = await session.request(('submit',))
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_s == 3.0
        assert asyncio.get_running_loop().time() - started < 0.3
        late = await session.request(('submit',), deadline_s=0.2)
        assert isinstance(late, Unknown)
        request_id = b'cancel-this'
        pending = asyncio.create_task(
            session.request(('submit',), request_id=request_id)
        )
        await asyncio.sleep(0.2)
        assert await session.cancel(request_id)
        assert isinstance(await pending, Unknown)
        assert upstream.statistics()['cancelled'] == 1


async def test_feed():
    """Notifications arrive in order and the feed ends at the upstream."""
    async with (
        running_upstream() as upstream,
        running_agent(make_gate(), upstream) as agent,
        CallerSession(Address(*agent.address)) as session,
    ):
        changes = []
        async for payload in session.observe(('feed',)):
            changes.append(json.loads(payload)['change'])
            if len(changes) == 5:
                break
        assert changes == sorted(changes)
        async with asyncio.timeout(3):
            while upstream.counts['observers']:
                await asyncio.sleep(0.05)
