"""Whether the flows of a destination carry one request or several."""
