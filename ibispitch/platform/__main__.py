"""Command line of the platform: ``python -m ibispitch.platform ROLE``."""

import signal
import sys

USAGE = 'usage: python -m ibispitch.platform balancer|agent\n'
EXIT_USAGE = 2


def _exit(_number, _frame) -> None:
    """Exit if the process is stopped while it starts and serves nothing."""
    raise SystemExit(0)


def main() -> None:
    """Run the program for the role on the command line.

    The command line comes from the deploy file. ``click`` is not used: its
    import would lengthen the restart of an agent.
    """
    # The imports below take some tenths of a second; the program installs
    # its own signal handlers after them.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)
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
