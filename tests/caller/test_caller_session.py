"""A caller session, a gate and the stand-in upstream."""

import asyncio
import contextlib
import hashlib
import json
import random

from aiocoap.numbers.codes import GET
import pytest

from ibispitch.admission.types import Refuse
from ibispitch.caller import CallerSession
from ibispitch.caller import NotRun
from ibispitch.caller import Unknown
from ibispitch.ids import Address
from testbed.upstream import large_body
from tests.requests.fakes import make_gate
from tests.requests.loopback import running_agent
from tests.requests.loopback import running_upstream


async def exchange(session, number):
    """Submit, upload and fetch bodies, and check that each is complete."""
    payload = b'%d' % number
    submitted = await session.request(('submit',), payload=payload)
    fields = json.loads(submitted.payload)
    assert fields['sha256'] == hashlib.sha256(payload).hexdigest()
    body = bytes([number % 256]) * (3000 + number)
    fields = json.loads((await session.upload(('scan',), body)).payload)
    assert fields['size'] == len(body)
    assert fields['sha256'] == hashlib.sha256(body).hexdigest()
    size = 5000 + number
    large = await session.request(
        ('large',), code=GET, query=(f'size={size}',)
    )
    assert large.payload == large_body(size)


@pytest.mark.parametrize('seed', [None, 1, 2])
async def test_bodies_are_complete(seed):
    """Copies and reordering must neither mix bodies nor run requests twice."""
    async with (
        running_upstream() as upstream,
        running_agent(make_gate(), upstream) as agent,
        contextlib.AsyncExitStack() as stack,
    ):
        if seed is not None:
            agent.disturb(random.Random(seed))
        sessions = [
            await stack.enter_async_context(
                CallerSession(Address(*agent.address))
            )
            for _ in range(4)
        ]
        await asyncio.gather(*(exchange(sessions[n % 4], n) for n in range(8)))
        assert len(upstream.runs) == 16
        assert not upstream.statistics()['doubled']


async def test_not_run_and_unknown():
    """A refusal must arrive at once; a run past its deadline is unknown."""
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
