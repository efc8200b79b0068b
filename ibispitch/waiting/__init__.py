"""Openings that wait at a balancer until an upstream can take them."""
