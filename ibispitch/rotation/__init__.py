"""Whether a balancer takes part in the rotation of its data centre."""
