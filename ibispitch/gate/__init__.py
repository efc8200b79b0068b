"""The gate of an agent, which admits new flows to its upstream."""
