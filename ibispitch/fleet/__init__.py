"""Membership of balancers and agents, from their status messages."""
