"""The load generator: sends a seeded open-loop load and measures answers.

The public modules are those in ``__all__``.
"""

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import callers
from gentianpoint_entry.load import reports
from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios

__all__ = ("arrivals", "callers", "reports", "results", "scenarios")
