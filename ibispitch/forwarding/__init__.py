"""The path of packets: frames, and the cores of balancer and agent."""
