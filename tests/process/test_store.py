"""The store down, silent or cut off, and operators who race."""

import asyncio

import pytest

from testbed.callers import Outcome
from testbed.deployment import Deployment
from testbed.relay import TcpRelay
from testbed.scenario import READY_CHECK_S
from testbed.scenario import READY_TIMEOUT_S
from tests.process.running import ctl
from tests.process.running import running
from tests.process.running import SETTLE_S

pytestmark = pytest.mark.process

STORE_DOWN_S = 15.0
#: Longest time until an operator is told: the start of the program and two
#: calls of the store that time out after 1 s.
TOLD_S = 6.0
STORE_EXIT = 7
CONFLICT_EXIT = 5
IN_FORCE_S = 3.0
IN_FORCE_CUT_S = 16.0
ROUNDS = 3


async def test_the_store_down_and_back(tmp_path):
    """A lost store must not stop traffic, and operators must be told."""
    async with running(tmp_path, 126, seed=126) as run:
        await run.scenario.set_store_faults(down=True)
        down = asyncio.ensure_future(asyncio.sleep(STORE_DOWN_S))
        before = len(run.scenario.answers)
        through_api, direct = await asyncio.gather(
            ctl(run, 'datacentre', 'out', 'nowhere'),
            ctl(run, 'datacentre', 'out', 'nowhere', is_direct=True),
        )
        for told in (through_api, direct):
            assert told.code == STORE_EXIT, told
            assert told.seconds < TOLD_S, told
            assert told.answer['error']['remedy'], told
        await down
        answers = run.scenario.answers[before:]
        assert len(answers) > 50
        assert all(a.outcome is Outcome.RESULT for _, a in answers)
        await run.scenario.set_store_faults()
        # Readers come back to the store within their longest backoff.
        edit = await ctl(run, 'datacentre', 'out', 'elsewhere')
        assert edit.code == 0, edit
        await run.watch.seconds_until(
            edit.answer['key'],
            edit.answer['version'],
            run.deployment.balancer_ips,
            IN_FORCE_CUT_S,
        )


async def test_a_lost_answer_of_the_store(tmp_path):
    """An edit whose answer is lost must be made once and be reported so."""
    async with running(tmp_path, 127, seed=127) as run:
        for is_direct in (False, True):
            await run.scenario.set_store_faults(lose_answers=1)
            edit = await ctl(
                run,
                'entries',
                'edit',
                run.service.name,
                '--ramp-s',
                '3' if is_direct else '4',
                is_direct=is_direct,
            )
            assert edit.code == 0, edit
            assert edit.answer['changed'], edit
            shown = await ctl(run, 'entries', 'list', is_direct=True)
            entry = shown.answer['entries'][run.service.name]
            assert entry['version'] == edit.answer['version']
            await run.watch.seconds_until(
                edit.answer['key'],
                edit.answer['version'],
                run.deployment.balancer_ips,
                IN_FORCE_S,
            )


async def test_half_of_the_balancers_cut_from_the_store(tmp_path):
    """An edit must reach balancers that the store does not answer."""
    relays = {}

    async def add_relays(deployment: Deployment) -> None:
        for name in list(deployment.balancer_ips)[::2]:
            address = deployment.relay_address(name)
            relays[name] = TcpRelay(address, deployment.store_address)
            await relays[name].start()
            deployment.store_by_balancer[name] = address

    async with running(
        tmp_path, 128, seed=128, prepare=add_relays, balancers=6
    ) as run:
        try:
            for relay in relays.values():
                relay.cut()
            out = await run.scenario.editor.take_out_of_service('nowhere')
            await run.in_force(out.ok, IN_FORCE_CUT_S)
            await asyncio.sleep(SETTLE_S)
            for relay in relays.values():
                relay.restore()
            back = await run.scenario.editor.return_to_service('nowhere')
            await run.in_force(back.ok, IN_FORCE_CUT_S)
            await asyncio.sleep(SETTLE_S)
        finally:
            for relay in relays.values():
                relay.stop()


async def test_operators_who_race(tmp_path):
    """Two edits must never both be accepted on the same version."""
    async with running(tmp_path, 129, seed=129) as run:
        shown = await ctl(run, 'entries', 'list')
        version = shown.answer['entries'][run.service.name]['version']
        for number in range(ROUNDS):
            edits = await asyncio.gather(
                *(
                    ctl(
                        run,
                        'entries',
                        'edit',
                        run.service.name,
                        '--ramp-s',
                        str(10 + 2 * number + is_direct),
                        '--if-version',
                        str(version),
                        is_direct=bool(is_direct),
                    )
                    for is_direct in (0, 1)
                )
            )
            codes = sorted(edit.code for edit in edits)
            assert codes == [0, CONFLICT_EXIT], edits
            accepted = next(e for e in edits if e.code == 0).answer
            refused = next(e for e in edits if e.code).answer['error']
            assert refused['other']['edit_id'] == accepted['edit_id']
            assert accepted['version'] > version
            version = accepted['version']


async def _state_once_started(run, name):
    """Return the state of a process; its imports alone may take seconds."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            state = await run.watch.local_state(name)
            if state is not None:
                return state
            await asyncio.sleep(READY_CHECK_S)


async def test_all_balancers_restarted_while_the_store_is_down(tmp_path):
    """Surviving agents must serve on once the store is back."""
    async with running(tmp_path, 130, seed=130) as run:
        await run.scenario.set_store_faults(down=True)
        names = list(run.deployment.balancer_ips)
        for name in names:
            run.deployment.supervisor.kill(name)
        for name in names:
            run.deployment.start_balancer(name)
        await asyncio.sleep(SETTLE_S)
        for name in names:
            state = await _state_once_started(run, name)
            assert 'store' in state['health']['reason'], state
        await run.scenario.set_store_faults()
        async with asyncio.timeout(IN_FORCE_CUT_S):
            for name in names:
                await run.scenario.wait_serving(name)
        # Callers that gave up in the outage need time to make requests.
        await asyncio.sleep(3 * SETTLE_S)
