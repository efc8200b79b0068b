"""Choice of the agent that gets a new flow."""
