"""Queue of the openings that wait at a balancer for an upstream."""
