"""Features of the whole system, with real processes."""
