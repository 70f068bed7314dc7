"""Structured log lines with numbered events.

Every line is a JSON object, on standard error or, where the platform reads
standard output, there and within bounds. The catalogue of events is
``schema/events.json``; docs/EVENTS.md tells an operator what to do.
"""

import logging
import sys
import typing

import structlog

from gentianpoint_core import bounded_logs
from gentianpoint_core.generated import events

__all__ = ("configure_bounded_logs", "configure_logs", "log_event")

_LEVELS: typing.Final = logging.getLevelNamesMapping()
_logger: typing.Any = structlog.get_logger()


class _Bounds(typing.NamedTuple):
    writer: bounded_logs.BoundedWriter
    rates: bounded_logs.EventRates


_bounds: typing.Optional[_Bounds] = None


def configure_logs(
    host: str, level: str, stream: typing.Optional[typing.Any] = None
) -> None:
    """Write events of at least ``level`` as JSON lines for ``host``.

    They go to standard error, or to ``stream`` if one is given.
    """
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
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(host=host)


def configure_bounded_logs(host: str, level: str) -> None:
    """Write events to standard output, without waiting and within bounds."""
    global _bounds
    writer = bounded_logs.BoundedWriter(sys.stdout.fileno())
    _bounds = _Bounds(writer, bounded_logs.EventRates())
    configure_logs(host, level, writer)


def log_event(event: events.Event, **fields: typing.Any) -> None:
    """Write one line for ``event``; fields name the step and the peer."""
    if _bounds is not None:
        _tell_left_out(_bounds)
        if not _bounds.rates.admit(event.name):
            return
    _write(event, fields)


def _tell_left_out(bounds: _Bounds) -> None:
    by_event = bounds.rates.take_left_out()
    unread = bounds.writer.left_out
    if by_event or unread:
        bounds.writer.left_out = 0
        fields = {"by_event": by_event, "unread": unread}
        _write(events.LINES_LEFT_OUT, fields)


def _write(
    event: events.Event, fields: typing.Mapping[str, typing.Any]
) -> None:
    _logger.log(
        _LEVELS[event.level.upper()],
        event.name,
        number=event.number,
        severity=event.level,
        **fields,
    )
