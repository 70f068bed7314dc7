"""The entry package."""
