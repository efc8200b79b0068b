"""Membership of balancers and agents by status messages."""
