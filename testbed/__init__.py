"""Stand-ins for the systems around ibispitch, with load and measurements.

Nothing in the ``ibispitch`` package imports this package.
"""
