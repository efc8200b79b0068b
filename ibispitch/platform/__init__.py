"""Adapter to the prepared platform.

The names that the platform uses in its settings, calls and packets are
decoded here, once, into the types of the other packages.
"""
