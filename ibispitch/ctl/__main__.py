"""Runs the command line with ``python -m ibispitch.ctl``."""

from ibispitch.ctl.program import main

if __name__ == '__main__':
    main()
