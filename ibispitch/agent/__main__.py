"""Runs the agent with ``python -m ibispitch.agent``."""

from ibispitch.agent.program import main

if __name__ == '__main__':
    main()
