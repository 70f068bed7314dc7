"""Structured logging of numbered events.

Every line is a JSON object. Lines go to standard error or, where the platform
reads standard output, to that stream, without blocking and rate-limited.
``schema/events.json`` defines the events; docs/EVENTS.md tells operators what
to do about each.
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


class _BoundedOutput(typing.NamedTuple):
    writer: bounded_logs.BoundedWriter
    rate_limiter: bounded_logs.EventRateLimiter


_bounded_output: typing.Optional[_BoundedOutput] = None


def configure_logs(
    host: str, level: str, stream: typing.Optional[typing.Any] = None
) -> None:
    """Log events of at least ``level`` as JSON lines that name ``host``.

    Lines go to ``stream``, or to standard error if there is none.
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
    """Log to standard output without blocking and with rate limits."""
    global _bounded_output
    writer = bounded_logs.BoundedWriter(sys.stdout.fileno())
    _bounded_output = _BoundedOutput(writer, bounded_logs.EventRateLimiter())
    configure_logs(host, level, writer)


def log_event(event: events.Event, **fields: typing.Any) -> None:
    """Log one line for ``event`` with the given fields."""
    if _bounded_output is not None:
        _log_dropped_lines(_bounded_output)
        if not _bounded_output.rate_limiter.allow(event.name):
            return
    _write(event, fields)


def _log_dropped_lines(output: _BoundedOutput) -> None:
    by_event = output.rate_limiter.take_dropped_lines()
    unread = output.writer.dropped_lines
    if by_event or unread:
        output.writer.dropped_lines = 0
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
