"""Measures how cost grows with the sizes of an installation.

``python -m testbed.slopes`` writes ``docs/slopes.json`` and
``docs/slopes.png``. Seeds are fixed: bytes and messages of the simulated
parts repeat exactly, processor times depend on the machine.
"""

from collections.abc import Iterable
import json
import os
from pathlib import Path
import platform
import tempfile
import time

import click
import matplotlib as mpl

from testbed.slopes_affinity import measure_churn
from testbed.slopes_affinity import measure_exceptions
from testbed.slopes_affinity import measure_flows
from testbed.slopes_cores import measure_admission
from testbed.slopes_cores import measure_catalogue
from testbed.slopes_cores import measure_directory
from testbed.slopes_cores import measure_gate
from testbed.slopes_cores import measure_leases
from testbed.slopes_cores import measure_routing
from testbed.slopes_cores import measure_views
from testbed.slopes_fit import Measure
from testbed.slopes_fit import Series
from testbed.slopes_fleet import measure_agents
from testbed.slopes_fleet import measure_bursts
from testbed.slopes_fleet import measure_edits
from testbed.slopes_fleet import measure_member_memory
from testbed.slopes_fleet import measure_members
from testbed.slopes_store import measure_processes

mpl.use('Agg')

from matplotlib import pyplot as plt

DOCS = Path(__file__).resolve().parent.parent / 'docs'
COLUMNS = 8
PANEL_INCHES = 2.6
MEASURES: tuple[Measure, ...] = (
    measure_members,
    measure_member_memory,
    measure_edits,
    measure_agents,
    measure_bursts,
    measure_routing,
    measure_leases,
    measure_views,
    measure_catalogue,
    measure_admission,
    measure_directory,
    measure_gate,
    measure_flows,
    measure_exceptions,
    measure_churn,
)


def _plot(results: dict[str, dict], path: Path) -> None:
    rows = -(-len(results) // COLUMNS)
    figure, axes = plt.subplots(
        rows,
        COLUMNS,
        figsize=(PANEL_INCHES * COLUMNS, PANEL_INCHES * rows),
        squeeze=False,
    )
    panels = list(axes.flat)
    for panel in panels[len(results) :]:
        panel.axis('off')
    for panel, (key, result) in zip(panels, results.items(), strict=False):
        xs, ys = zip(*result['points'], strict=True)
        line = [result['intercept'] + result['slope'] * x for x in xs]
        panel.plot(xs, line, color='grey', linewidth=1)
        panel.plot(xs, ys, 'o', markersize=4)
        panel.set_ylim(bottom=0)
        panel.set_title(f'{key}\norder {result["order"]}', fontsize=6)
        panel.set_xlabel(result['size'], fontsize=6)
        panel.set_ylabel(result['unit'], fontsize=6)
        panel.tick_params(labelsize=5)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _report(series: Iterable[Series]) -> dict[str, dict]:
    results = {}
    for one in series:
        result = results[one.key] = one.result()
        print(
            f'{one.key}: {result["slope"]:.4g} {one.unit} per {one.size}, '
            f'residual {result["residual"]:.3f}, order {result["order"]}',
            flush=True,
        )
    return results


@click.command()
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    default=DOCS,
    help='Where slopes.json and slopes.png go.',
)
@click.option('--processes/--no-processes', default=True)
def main(folder: Path, processes: bool) -> None:
    """Measure all slopes."""
    start = time.monotonic()
    results: dict[str, dict] = {}
    figures: dict[str, float] = {}
    seconds: dict[str, float] = {}
    load = os.getloadavg()[0]
    for measure in MEASURES:
        before = time.monotonic()
        results |= _report(measure())
        seconds[measure.__name__] = round(time.monotonic() - before, 1)
    if processes:
        before = time.monotonic()
        with tempfile.TemporaryDirectory() as logs:
            series, figures = measure_processes(Path(logs))
        results |= _report(series)
        seconds['measure_processes'] = round(time.monotonic() - before, 1)
    document = {
        'machine': {
            'python': platform.python_version(),
            'processor': platform.machine(),
            'cores': os.cpu_count(),
            'load_at_start': round(load, 1),
            'seconds': round(time.monotonic() - start, 1),
            'seconds_by_part': seconds,
        },
        'figures': {key: round(value, 6) for key, value in figures.items()},
        'series': results,
    }
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(document, indent=1, sort_keys=True)
    (folder / 'slopes.json').write_text(text + '\n')
    _plot(results, folder / 'slopes.png')


if __name__ == '__main__':
    main()
