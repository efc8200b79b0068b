"""Decision whether a balancer is in the rotation of its data centre."""
