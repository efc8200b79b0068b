"""Data that waits for the link of its host."""
