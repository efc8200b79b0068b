"""Flows of an agent that restarts, kept by balancers until it is back.

Hosts have no disks, and an agent that does not know the flows of its
upstream could not tell which packets belong to it.
"""
