"""Request times and failures of one upstream, measured by its agent."""
