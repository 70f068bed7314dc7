"""The entry: accepts calls and dispatches them to agents."""
