"""Settings that all links of an entry to agents share."""

import typing

__all__ = ("LinkSettings", "compute_report_ms")

_REPORT_WIRE_BYTES: typing.Final = 250
"""Size of a report on the wire, in bytes."""
_REPORT_BUDGET_BYTES_S: typing.Final = 1500
"""Traffic that reports to a host may cause, in bytes per second."""


def compute_report_ms(links: int) -> int:
    """Return the least interval between reports of an agent, milliseconds.

    ``links`` is the number of links of all entry processes on the host. They
    share its budget for control traffic, of which reports may use about a
    third. The more links, the smaller the share of each and the rarer its
    reports; between two reports the entry counts the calls that it sent.

    >>> compute_report_ms(3)
    500
    """
    return round(links * _REPORT_WIRE_BYTES * 1000 / _REPORT_BUDGET_BYTES_S)


class LinkSettings(typing.NamedTuple):
    """Settings that all links of an entry share."""

    name: str
    """Name of this entry's host."""
    incarnation: str
    """Identifier of this run of the entry process."""
    data_centre: str
    """Data centre of this entry."""
    peer_key: str
    """Secret key with which the deployment's processes authenticate."""
    heartbeat_ms: int
    """Time between heartbeats, milliseconds."""
    silence_ms: int
    """Time without a message after which a connection counts as lost,
    milliseconds."""
    window: int
    """Largest number of items of a call in flight."""
    max_message_bytes: int
    """Largest message accepted from an agent, bytes."""
    processes_on_host: int = 1
    """Number of entry processes on this entry's host."""
