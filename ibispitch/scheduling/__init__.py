"""Order of the requests that wait for an upstream."""
