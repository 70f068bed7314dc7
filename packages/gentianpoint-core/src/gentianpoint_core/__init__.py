"""What the entry and the agent share.

The public surface is the modules named in ``__all__``; code imports the
modules, never single objects, as OpenStack's guidelines ask.
"""
