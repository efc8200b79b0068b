"""Gate in front of an upstream: which new flows it may get."""
