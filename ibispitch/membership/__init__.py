"""Membership: the present balancers and agents, and the leases of agents.

Each balancer keeps its own copy of the records of all members. An agent
keeps the state of its own lease.
"""
