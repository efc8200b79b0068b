"""Admission control: which requests and flows an upstream gets, and when.

The state, namely the concurrency limit, the queue and the loads that peers
have reported, belongs to the agent of the upstream.
"""
