"""The standins package."""
