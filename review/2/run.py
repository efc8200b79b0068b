"""An agent is killed while its zone is evacuated and its server turns cold."""

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Case
from harness import has_trouble
from harness import run_case
from harness import STABILITY_S

#: Seconds after the start of the processes.
EVACUATED_AT, KILLED_AT, COLD_AT, RETURNED_AT = 3.0, 4.0, 6.0, 7.5
ASKED_AGAIN_AT, ENDED_AT = 10.0, 14.0
COLD_S = 2.0


async def disturb(case: Case) -> None:
    """Evacuate a zone, kill an agent there, and turn its servers cold."""
    deployment, record = case.deployment, case.record
    victim = deployment.agents[0]
    await case.at(EVACUATED_AT)
    record.write('operator: op/evacuate/accra is written')
    deployment.take_out('accra')
    await case.at(KILLED_AT)
    record.write(f'platform: SIGKILL for the agent on {victim.name}')
    await deployment.kill(victim)
    record.write(f'platform: {victim.name} is started again')
    case.judged_from = case.loop.time() + STABILITY_S
    await case.at(COLD_AT)
    for host in deployment.agents[:2]:
        record.write(f'server of {host.name} is cold for {COLD_S} s')
        host.upstream.turn_cold(COLD_S)
    await case.at(RETURNED_AT)
    record.write('operator: op/evacuate/accra is removed')
    deployment.take_out('accra', is_out=False)


async def play(case: Case) -> None:
    """Half of the clients ask steadily, the others pause for 10 s."""
    callers = case.add_clients('accra', 24)
    for caller in callers:
        caller.ask()
    asking = case.loop.create_task(case.ask_steadily(callers[::2]))
    if has_trouble():
        await disturb(case)
    await case.at(ASKED_AGAIN_AT)
    for caller in callers:
        caller.ask()
    await case.at(ENDED_AT)
    asking.cancel()


run_case(
    Path(__file__).resolve().parent,
    ('accra', 'accra', 'kumasi'),
    (('accra', 'counter'), ('accra', 'counter'), ('kumasi', 'counter')),
    play,
)
