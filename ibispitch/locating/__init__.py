"""Search for the agent that owns an open flow, and a table of owners."""
