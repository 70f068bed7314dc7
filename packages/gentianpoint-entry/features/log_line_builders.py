"""Builders of log lines for features of the commands that read them."""

import json
import typing


def make_line(second: int, host: str, event: str, **fields: typing.Any) -> str:
    """Return a log line with the prefix that a log collector adds."""
    fields |= {"event": event, "host": host, "number": 1}
    fields["timestamp"] = f"2026-01-01T00:00:{second:02d}Z"
    return "12.5 some-host " + json.dumps(fields)
