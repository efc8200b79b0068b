"""What each mechanism is worth, in outages and under overload.

Each mechanism is switched by its setting, one at a time, on the same requests
and seeds. Prints the mean difference of the served value that the mechanism
makes, and the spread of that difference over the seeds.
"""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
import math
import random
from statistics import mean
from statistics import stdev
from typing import NamedTuple

import click

from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from testbed.flow_outage import DEPLOYED
from testbed.flow_outage import fresh_kinds
from testbed.flow_outage import Loss
from testbed.flow_outage import Outage
from testbed.flow_outage import run_outage

#: Time from the outage for which the served value is compared.
COMPARED_S = 4.0
DATACENTRES = ('east', 'north', 'south', 'west')

Change = Callable[[OverloadSettings], OverloadSettings]
OUTAGE_BY_NAME: dict[str, Outage] = {
    'power 0.65 s': Outage(),
    'power 1.2 s': Outage(dark_s=1.2),
    'processes 0.8 s': Outage(loss=Loss.PROCESSES, dark_s=0.8),
    'load 1.3': Outage(loss=Loss.NOTHING, slot_utilisation=1.3),
    'grown, power 0.65 s': Outage(
        datacentres={'east': 5, 'north': 3, 'south': 4, 'west': 4},
        upstreams=DATACENTRES * 9,
        kinds=fresh_kinds(0.281, 1.687),
    ),
}


def _switched(section: str) -> Change:
    """Return a change that switches a section off, or on if it is off."""

    def change(settings: OverloadSettings) -> OverloadSettings:
        part = getattr(settings, section)
        mode = Mode.AUTO if part.mode is Mode.OFF else Mode.OFF
        return settings._replace(**{section: part._replace(mode=mode)})

    return change


CHANGE_BY_MECHANISM: dict[str, Change] = {
    section: _switched(section) for section in OverloadSettings._fields
}


def generated(seed: int) -> Outage:
    """Return a random deployment with a loss of power."""
    rng = random.Random(seed)
    names = DATACENTRES[: rng.randint(1, 4)]
    work_s = rng.choice([0.005, 0.015, 0.06])
    slots = rng.choice([1, 1, 2, 5, 50])
    # The number of requests decides how long a run takes.
    most = max(4, min(60, int(600 * work_s / slots)))
    objective_s = work_s * math.exp(rng.uniform(math.log(3), math.log(30)))
    return Outage(
        datacentres={name: rng.randint(2, 4) for name in names},
        upstreams=tuple(
            rng.choice(names) for _ in range(rng.randint(4, most))
        ),
        slots=slots,
        work_s=work_s,
        slot_utilisation=rng.uniform(0.3, 0.7),
        kinds=fresh_kinds(objective_s, max(1.0, 8 * objective_s)),
        dark_s=rng.uniform(0.3, 1.5),
        cold_openings_per_s=rng.choice([0.0, 2.0, 8.0, 20.0]),
    )


class Play(NamedTuple):
    """One run of an outage."""

    outage: Outage
    seed: int
    settings: OverloadSettings


def credit_of(play: Play) -> float:
    """Return the served value of a run."""
    report = run_outage(play.outage, play.seed, play.settings)
    return report.credit(0.0, COMPARED_S)


class Worth(NamedTuple):
    """Difference that a mechanism makes.

    :param mean: mean of the differences; positive if it serves more.
    :param spread: standard deviation of the differences.
    """

    mechanism: str
    outage: str
    mean: float
    spread: float


def measure(
    outage_by_name: dict[str, Outage], seeds: int, jobs: int
) -> Iterator[Worth]:
    """Yield what each mechanism is worth in each outage."""
    numbers = range(1, seeds + 1)
    with ProcessPoolExecutor(jobs) as executor:
        for outage_name, outage in outage_by_name.items():

            def run(settings, outage=outage) -> list[float]:
                plays = [Play(outage, seed, settings) for seed in numbers]
                return list(executor.map(credit_of, plays))

            deployed = run(DEPLOYED)
            for name, change in CHANGE_BY_MECHANISM.items():
                changed = run(change(DEPLOYED))
                was_on = getattr(DEPLOYED, name).mode is not Mode.OFF
                sign = 1 if was_on else -1
                differences = [
                    sign * (one - other)
                    for one, other in zip(deployed, changed, strict=True)
                ]
                yield Worth(
                    name, outage_name, mean(differences),
                    stdev(differences) if seeds > 1 else 0.0,
                )  # fmt: skip


@click.command()
@click.option('--seeds', default=4, help='Number of seeds, from 1.')
@click.option('--jobs', default=2, help='Number of processes.')
@click.option(
    '--outage', 'names', multiple=True,
    type=click.Choice(list(OUTAGE_BY_NAME)), help='Only these outages.',
)  # fmt: skip
@click.option(
    '--deployments', default=0, help='Number of generated deployments.'
)
def main(seeds, jobs, names, deployments) -> None:
    """Measure what each mechanism is worth."""
    outage_by_name = {
        name: OUTAGE_BY_NAME[name] for name in names or OUTAGE_BY_NAME
    }
    outage_by_name |= {
        f'generated {seed}': generated(seed)
        for seed in range(1, deployments + 1)
    }
    click.echo('mechanism    outage                 worth   spread')
    for worth in measure(outage_by_name, seeds, jobs):
        click.echo(
            f'{worth.mechanism:12} {worth.outage:20} '
            f'{worth.mean:+.4f}  {worth.spread:.4f}'
        )


if __name__ == '__main__':
    main()
