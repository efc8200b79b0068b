"""Starts a program of the platform: ``python -m ibispitch.platform ROLE``."""

import sys

USAGE = 'usage: python -m ibispitch.platform balancer|agent\n'
EXIT_USAGE = 2


def main() -> None:
    """Run the program that the command line names.

    The line comes from the deploy file; ``click`` would add to the time for
    which a restarted agent is away.
    """
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
