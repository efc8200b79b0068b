"""Demo of a whole deployment on loopback, with faults.

The programs run as separate processes on a simulated platform: a store over
HTTP, routers that pick a balancer by hash modulo, upstreams with heartbeats,
and callers. Faults of the soak test are announced and injected one after the
other; the exit code is 1 if a promise was broken.
"""

import asyncio
from pathlib import Path
import sys
import tempfile

import click
from tabulate import tabulate

from testbed.flow_callers import Outcome
from testbed.soak import faults
from testbed.soak import Soak

NETWORK = 59
PAUSE_S = 1.0
STEPS = (
    'configuration_change', 'stop_in_turn', 'kill_a_process',
    'pause_a_process', 'crash_an_upstream', 'drain_an_upstream',
    'store_away', 'cut_from_the_store', 'lossy_fabric',
    'datacentre_out_and_back',
)  # fmt: skip


class PlatformDemo(Soak):
    """Soak run with the faults of :data:`STEPS` in order, each printed."""

    async def _inject_faults(self) -> None:
        for name in STEPS:
            what = faults[name].__doc__.strip()
            click.echo(f'[{self.now:5.1f} s] {name}: {what}')
            await self.inject(name)
            await asyncio.sleep(PAUSE_S)
        click.echo(f'[{self.now:5.1f} s] recovery, then calm')


async def run_demo(folder: Path, seed: int) -> PlatformDemo:
    """Run the steps and return the run, with its broken promises."""
    demo = PlatformDemo(folder, NETWORK, seed, 0.0)
    await demo.run()
    return demo


@click.command()
@click.option('--seed', default=1, help='Seed of faults and load.')
def main(seed: int) -> None:
    """Show flows on the prepared platform under faults."""
    folder = Path(tempfile.mkdtemp(prefix='ibispitch-platform-demo-'))
    click.echo(f'logs and settings are in {folder}')
    demo = asyncio.run(run_demo(folder, seed))
    requests = [r for c in demo.deployment.callers for r in c.requests]
    rows = [
        (outcome.value, sum(r.outcome is outcome for r in requests))
        for outcome in Outcome
    ]
    rows.append(('promises broken (must be 0)', len(demo.broken)))
    click.echo(tabulate(rows, headers=('requests', 'count')))
    for broken in demo.broken:
        click.echo(f'{broken.at_s} s: {broken.promise}: {broken.detail}')
    sys.exit(1 if demo.broken else 0)


if __name__ == '__main__':
    main()
