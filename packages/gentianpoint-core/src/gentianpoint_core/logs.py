"""Structured log lines with numbered events.

Every line is a JSON object on standard error. The catalogue of events is
``schema/events.json``; docs/EVENTS.md tells an operator what to do.
"""

import logging
import sys
import typing

import structlog

from gentianpoint_core.generated import events

__all__ = ("configure_logs", "log_event")

_LEVELS: typing.Final = logging.getLevelNamesMapping()
_logger: typing.Any = structlog.get_logger()


def configure_logs(host: str, level: str) -> None:
    """Write events of at least ``level`` as JSON lines for ``host``."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _LEVELS[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(host=host)


def log_event(event: events.Event, **fields: typing.Any) -> None:
    """Write one line for ``event``; fields name the step and the peer."""
    _logger.log(
        _LEVELS[event.level.upper()],
        event.name,
        number=event.number,
        severity=event.level,
        **fields,
    )
