"""The load tool: sends a seeded, open-loop mix and reports what callers see.

The public surface is the modules named in ``__all__``.
"""

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import callers
from gentianpoint_entry.load import reports
from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios

__all__ = ("arrivals", "callers", "reports", "results", "scenarios")
