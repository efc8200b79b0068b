"""All benchmarks with bounds, run by ``make bench``.

Prints one line per figure, ``name value unit bound ok|over``, and exits with
1 if a bound is missed. Arguments select groups by name.
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

RUN_BY_GROUP: dict[str, Callable[[], Iterable[Figure]]] = {
    'datapath': bench_datapath.run,
    'affinity': bench_affinity.run,
    'admission': bench_admission.run,
    'processes': bench_processes.run,
}


def main(groups: list[str]) -> int:
    """Run the groups and return the exit code."""
    unknown = set(groups) - RUN_BY_GROUP.keys()
    if unknown:
        print(f'unknown groups {sorted(unknown)}; use {list(RUN_BY_GROUP)}')
        return 2
    results = [
        print_figures(RUN_BY_GROUP[group]())
        for group in groups or RUN_BY_GROUP
    ]
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
