"""Routes of flows: the table, how it is followed in the store and spread."""
