"""Builders of links with reports but without a connection."""

import typing

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_settings

_SETTINGS: typing.Final = link_settings.LinkSettings(
    "entry-1", "run-1", "north", "key", 1000, 3000, 64, 2**20
)


def make_link(name: str, data_centre: str) -> agent_links.AgentLink:
    """Return a link to an agent that has sent no report yet."""
    host = ports.Host(
        name, "agent", "service", name, "127.0.0.1:1", data_centre, "live"
    )
    return agent_links.AgentLink(host, _SETTINGS, lambda: None)


def make_report(**more: typing.Any) -> messages.Report:
    """Return a report of ten running calls that use half the memory."""
    report: dict[str, typing.Any] = {
        "type": "report",
        "running": 10,
        "queued": 0,
        "memory_used": 0.0,
        "memory_predicted": 0.5,
        "pace_ms": 0.0,
        "queue_wait_ms": 0.0,
        "age_ms": 0,
        "prefixes": [],
    }
    return typing.cast(messages.Report, {**report, **more})


def report_figure(
    link: agent_links.AgentLink, word: str, value: float
) -> None:
    """Store a report with the figure that a table cell names."""
    match word:
        case "memory":
            link.store_report(make_report(memory_predicted=value))
        case "wait":
            link.store_report(make_report(queue_wait_ms=value))
        case "calls":
            link.store_report(
                make_report(memory_predicted=0.0, running=int(value))
            )
        case "pace":
            link.store_report(make_report(pace_ms=value))
        case "refusal":
            link.store_report(make_report(memory_predicted=0.1))
            link.refused_until = deadlines.make_deadline(1000)
        case _:
            assert word == "nothing", word
