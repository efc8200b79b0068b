"""Membership: which balancers and agents exist and who leases what.

Each balancer owns its own view of the records; an agent owns its lease.
"""
