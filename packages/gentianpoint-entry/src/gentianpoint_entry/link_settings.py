"""What all links of an entry to agents have in common."""

import typing

__all__ = ("LinkSettings", "compute_report_ms")

_REPORT_WIRE_BYTES: typing.Final = 250
_REPORT_BUDGET_BYTES_S: typing.Final = 1500


def compute_report_ms(links: int) -> int:
    """Return the least time between reports of an agent, milliseconds.

    ``links`` counts those of all entry processes on the host, which share
    its budget for control traffic, and reports may take about a third of it.
    With many links each one gets a smaller share, so reports come less
    often; the entry's own sends since the last report fill the gap.

    >>> compute_report_ms(3)
    500
    """
    return round(links * _REPORT_WIRE_BYTES * 1000 / _REPORT_BUDGET_BYTES_S)


class LinkSettings(typing.NamedTuple):
    """What all links of an entry have in common."""

    name: str
    """Host of this entry."""
    incarnation: str
    """Run of this entry's process."""
    data_centre: str
    """Data centre of this entry."""
    peer_key: str
    """Key that the processes of the deployment share."""
    heartbeat_ms: int
    """Time between heartbeats, milliseconds."""
    silence_ms: int
    """Silence after which a connection is lost, milliseconds."""
    window: int
    """Items of a call that may be on the way."""
    max_message_bytes: int
    """Largest message taken from an agent, bytes."""
    processes_on_host: int = 1
    """Entry processes on this entry's host."""
