"""Measures how costs grow with the sizes of an installation.

``python -m testbed.slopes`` writes ``docs/slopes.json`` and
``docs/slopes.png``. Seeds are fixed, so that bytes and messages of simulated
measurements are the same in each run; processor times depend on the machine.
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
from testbed.slopes_fit import Measurement
from testbed.slopes_fit import Series
from testbed.slopes_fleet import measure_agents
from testbed.slopes_fleet import measure_bursts
from testbed.slopes_fleet import measure_edits
from testbed.slopes_fleet import measure_member_memory
from testbed.slopes_fleet import measure_members
from testbed.slopes_store import measure_processes

mpl.use('Agg')

from matplotlib import pyplot as plt

DOCS_FOLDER = Path(__file__).resolve().parent.parent / 'docs'
PLOT_COLUMNS = 8
PANEL_INCHES = 2.6
MEASUREMENTS: tuple[Measurement, ...] = (
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


def _write_plot(results: dict[str, dict], path: Path) -> None:
    rows = -(-len(results) // PLOT_COLUMNS)
    figure, axes = plt.subplots(
        rows,
        PLOT_COLUMNS,
        figsize=(PANEL_INCHES * PLOT_COLUMNS, PANEL_INCHES * rows),
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


def _print_results(series: Iterable[Series]) -> dict[str, dict]:
    results = {}
    for one_series in series:
        result = results[one_series.key] = one_series.result()
        print(
            f'{one_series.key}: {result["slope"]:.4g} {one_series.unit} '
            f'per {one_series.size}, '
            f'residual {result["residual"]:.3f}, order {result["order"]}',
            flush=True,
        )
    return results


@click.command()
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    default=DOCS_FOLDER,
    help='Where slopes.json and slopes.png go.',
)
@click.option('--processes/--no-processes', default=True)
def main(folder: Path, processes: bool) -> None:
    """Measure all slopes and write the results."""
    start = time.monotonic()
    results: dict[str, dict] = {}
    figures: dict[str, float] = {}
    seconds: dict[str, float] = {}
    load = os.getloadavg()[0]
    for measurement in MEASUREMENTS:
        measurement_start = time.monotonic()
        results |= _print_results(measurement())
        seconds[measurement.__name__] = round(
            time.monotonic() - measurement_start, 1
        )
    if processes:
        measurement_start = time.monotonic()
        with tempfile.TemporaryDirectory() as logs_folder:
            series, figures = measure_processes(Path(logs_folder))
        results |= _print_results(series)
        seconds['measure_processes'] = round(
            time.monotonic() - measurement_start, 1
        )
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
    _write_plot(results, folder / 'slopes.png')


if __name__ == '__main__':
    main()
