"""Handles agents' announcements of engines that have just started."""

from collections import abc
import typing

from gentianpoint_core import logs
from gentianpoint_core import names
from gentianpoint_core import option_types
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_listing
from gentianpoint_entry.forwarding import targets

__all__ = ("EngineAnnouncements",)


class EngineAnnouncements:
    """Adds announced engines to the targets that are listed."""

    def __init__(
        self,
        listing: target_listing.TargetListing,
        read_table: abc.Callable[[], typing.Optional[routes.RouteTable]],
    ) -> None:
        """Add engines of configured services to ``listing``."""
        self._listing: typing.Final = listing
        self._read_table: typing.Final = read_table

    def handle_message(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Handle an ``engine_here`` message.

        An engine of a service that is not configured, or is configured
        without engines, is not added before it is listed. One with an invalid
        name or address is ignored, since sending to it would raise an error
        that nobody handles.
        """
        table = self._read_table()
        if table is None:
            return
        service = table.services.get(message["service"])
        if service is None or service.engine is None:
            return
        try:
            names.check_header_name(message["target"], "target")
            names.check_name(message["data_centre"], "data_centre")
            option_types.split_address(message["address"])
        except ValueError as error:
            logs.log_event(
                events.ANNOUNCEMENT_IGNORED,
                target=message["target"],
                reason=str(error),
            )
            return
        self._listing.add_announced(
            targets.TargetEntry(
                target_id=message["target"],
                service=service.name,
                address=message["address"],
                data_centre=message["data_centre"],
                slots=service.engine.slots,
                is_leaving=False,
                cold_left_ms=service.cold_ms,
                started_ms=message["born_ms"],
            )
        )
