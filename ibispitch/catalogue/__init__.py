"""Catalogue: entries, data centre states and the edits of operators.

Accepted documents are owned by the store; each process owns the versions
that it has seen, which never decrease.
"""
