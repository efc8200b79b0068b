"""Queue for data that waits for the link of a host."""
