"""Code shared by the entry and the agent.

Each module's ``__all__`` lists its public names. Code imports modules, never
single objects, as in OpenStack's style guidelines.
"""
