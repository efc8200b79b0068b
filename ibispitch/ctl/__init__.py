"""``ibispitchctl``, the command line of operators and owners."""

from ibispitch.ctl.program import main

__all__ = ['main']
