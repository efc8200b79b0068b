"""The packet path: frames, and the decision code of balancer and agent."""
