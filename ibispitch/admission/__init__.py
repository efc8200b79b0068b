"""Admission: how much the upstream of an agent receives, and when.

The agent owns the concurrency limit, the queue and the loads it has heard.
"""
