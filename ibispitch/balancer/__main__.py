"""Runs the balancer with ``python -m ibispitch.balancer``."""

from ibispitch.balancer.program import main

if __name__ == '__main__':
    main()
