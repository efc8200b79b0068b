"""Adapter to the users' platform: its settings, HTTP calls and packets.

They are decoded here into the types of the other packages, which do not
depend on the platform's formats.
"""
