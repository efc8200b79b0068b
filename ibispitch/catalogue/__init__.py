"""Catalogue: service entries, data centre states and edits of both.

The store holds the accepted documents. Each process keeps the greatest
version of each document that it has received.
"""
