"""Starts a program of the platform: ``python -m ibispitch.platform ROLE``."""

import signal
import sys

USAGE = 'usage: python -m ibispitch.platform balancer|agent\n'
EXIT_USAGE = 2


def _end(_number, _frame) -> None:
    """End a process that is stopped while it starts; nothing is served."""
    raise SystemExit(0)


def main() -> None:
    """Run the program that the command line names.

    The line comes from the deploy file; ``click`` would add to the time for
    which a restarted agent is away.
    """
    # The imports take some tenths of a second; the program's own handlers
    # come after them.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end)
    role = sys.argv[1] if len(sys.argv) == 2 else ''
    if role == 'balancer':
        from ibispitch.platform.balancer import Balancer as Program
    elif role == 'agent':
        from ibispitch.platform.agent import Agent as Program
    else:
        sys.stderr.write(USAGE)
        raise SystemExit(EXIT_USAGE)
    from ibispitch.platform.node import run_node

    run_node(lambda node: Program(node).run())


main()
