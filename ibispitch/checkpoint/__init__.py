"""Flows of a restarting agent, kept by balancers until it has restarted.

Hosts have no disks, and an agent that does not know the flows of its
upstream could not decide which packets belong to it.
"""
