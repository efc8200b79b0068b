"""The real programs as processes: requests from callers to upstreams."""

import asyncio
import signal
import sys

import pytest

from ibispitch.ids import Address
from testbed.flow_callers import Outcome
from testbed.flow_platform import FEED
from testbed.flow_processes import call
from testbed.flow_processes import FlowProcesses

pytestmark = pytest.mark.process

NETWORK = 32
METRICS_PORT = 9100
STOP_S = 8.0
PATIENT_FEED = FEED._replace(objective_s=0.5, deadline_s=3.0)


async def test_request_through_real_processes(tmp_path):
    """Guards against programs that work only in simulated time."""
    deployment = FlowProcesses(
        tmp_path, NETWORK, ['accra'], [('accra', 'counter')], seed=3
    )
    [balancer], [agent] = deployment.balancers, deployment.agents
    try:
        await deployment.start([PATIENT_FEED])
        caller = deployment.add_caller('accra', PATIENT_FEED, is_long=True)
        for _ in range(5):
            caller.ask()
            async with asyncio.timeout(PATIENT_FEED.deadline_s):
                # A caller asks nothing while its flow waits for an answer, and
                # the first one waits for a heartbeat of the upstream.
                while caller.requests[-1].answered_at is None:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
        metrics = await call(
            Address(agent.ip, METRICS_PORT), 'GET', '/metrics'
        )
        assert metrics.status == 200
        balancer.process.terminate()
        async with asyncio.timeout(STOP_S):
            assert await balancer.process.wait() == 0
    finally:
        await deployment.stop()
    upstream = agent.upstream
    assert len(caller.requests) == 5
    assert {r.outcome for r in caller.requests} == {Outcome.IN_TIME}
    assert len(set(upstream.runs)) == len(upstream.runs) == 5
    assert upstream.damaged_packets == caller.bad_answers == 0
    events = [line['event'] for line in balancer.log_lines()]
    assert events[0] == 'process.started'
    assert events[-1] == 'process.stopped'
    assert events.count('flow.placed') == 1


#: Runs the program with an import that prints a line and then blocks.
SLOW_START = """
import runpy, sys, time

class Slow:
    def find_spec(self, name, path=None, target=None):
        if name == 'ibispitch.platform.agent':
            print('importing', flush=True)
            time.sleep(30)

sys.meta_path.insert(0, Slow())
sys.argv = ['-', 'agent']
runpy.run_module('ibispitch.platform', run_name='__main__')
"""


@pytest.mark.parametrize('is_reloaded', [False, True])
async def test_stop_while_the_program_starts(is_reloaded):
    """Guards against an exit with an error if a start is interrupted.

    In seeds 104 and 144 of the soak a process was stopped during its imports,
    and a signal to read the settings again ended one.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', SLOW_START, stdout=asyncio.subprocess.PIPE
    )
    assert await process.stdout.readline() == b'importing\n'
    if is_reloaded:
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert process.returncode is None
    process.terminate()
    async with asyncio.timeout(STOP_S):
        assert await process.wait() == 0


#: Runs the program with an import that is stopped and swallows exceptions.
SWALLOWING_START = """
import os, runpy, signal, sys, time

class Swallowing:
    def find_spec(self, name, path=None, target=None):
        if name == 'ibispitch.platform.agent':
            try:
                os.kill(os.getpid(), signal.SIGTERM)
                time.sleep(30)
            except BaseException:
                print('swallowed', flush=True)

sys.meta_path.insert(0, Swallowing())
sys.argv = ['-', 'agent']
runpy.run_module('ibispitch.platform', run_name='__main__')
"""


async def test_stop_during_an_import_that_swallows_exceptions():
    """Guards against a program that goes on half initialised.

    A balancer ended with SIGSEGV in msgspec, whose import had swallowed the
    exception of the signal handler (seed 2016 of the soak with absences).
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', SWALLOWING_START, stdout=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(STOP_S):
        output, _ = await process.communicate()
    assert output == b''
    assert process.returncode == 0
