"""A heartbeat that names no server reaches the agent of a live server."""

import os
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Case
from harness import has_trouble
from harness import run_case

#: Seconds after the start of the processes.
WRITTEN_AT, ENDED_AT = 6.0, 14.0


async def play(case: Case) -> None:
    """Clients ask steadily; one heartbeat comes from another writer."""
    callers = case.add_clients('accra', 18)
    asking = case.loop.create_task(case.ask_steadily(callers))
    await case.at(WRITTEN_AT)
    victim = case.deployment.agents[0]
    if has_trouble():
        # "address", "zone" and "version" are missing.
        body = {
            'service': victim.service, 'slots': 2, 'state': 'ready',
            'cold_left_ms': 0, 'sequence': 1,
            'born': round(time.time() * 1000),
        }  # fmt: skip
        case.record.write(f'another writer sends to {victim.name}:')
        await case.deployment.beat(victim, f'i-{os.urandom(4).hex()}', body)
    await case.at(ENDED_AT)
    asking.cancel()


run_case(
    Path(__file__).resolve().parent,
    ('accra', 'accra'),
    (('accra', 'counter'), ('accra', 'counter'), ('accra', 'counter')),
    play,
)
