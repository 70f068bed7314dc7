"""The agent package."""
