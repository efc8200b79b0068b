"""All measurements with bounds, ``make bench``.

Prints one line a figure, ``name value unit bound ok|over``, and exits with 1
if a bound is missed. Arguments select groups by name.
"""

from collections.abc import Callable
from collections.abc import Iterable
import sys

from testbed import bench_admission
from testbed import bench_affinity
from testbed import bench_datapath
from testbed import bench_processes
from testbed.figures import Figure
from testbed.figures import print_figures

run_by_group: dict[str, Callable[[], Iterable[Figure]]] = {
    'datapath': bench_datapath.run,
    'affinity': bench_affinity.run,
    'admission': bench_admission.run,
    'processes': bench_processes.run,
}


def main(groups: list[str]) -> int:
    """Run the groups and return the exit code."""
    unknown = set(groups) - run_by_group.keys()
    if unknown:
        print(f'unknown groups {sorted(unknown)}; use {list(run_by_group)}')
        return 2
    verdicts = [
        print_figures(run_by_group[group]())
        for group in groups or run_by_group
    ]
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
