"""Fair shares of callers while openings or requests wait."""
