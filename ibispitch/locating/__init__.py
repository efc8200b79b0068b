"""Search for the agent that owns an open flow."""
