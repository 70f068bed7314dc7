"""Takes what agents tell of engines that have just started."""

from collections import abc
import typing

from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_listing
from gentianpoint_entry.forwarding import targets

__all__ = ("EngineAnnouncements",)


class EngineAnnouncements:
    """Puts announced engines beside those that are listed."""

    def __init__(
        self,
        listing: target_listing.TargetListing,
        read_table: abc.Callable[[], typing.Optional[routes.RouteTable]],
    ) -> None:
        """Announce to ``listing`` what belongs to a service in force."""
        self._listing: typing.Final = listing
        self._read_table: typing.Final = read_table

    def handle_message(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Take an ``engine_here`` message.

        One of a service that the configuration does not know, or knows
        without engines, is left to the list; one whose address is none is
        dropped, since connecting to it would end this process.
        """
        table = self._read_table()
        if table is None:
            return
        service = table.services.get(message["service"])
        if service is None or service.engine is None:
            return
        try:
            option_types.split_address(message["address"])
        except ValueError as error:
            logs.log_event(
                events.ANNOUNCEMENT_IGNORED,
                target=message["target"],
                reason=str(error),
            )
            return
        self._listing.announce(
            targets.TargetEntry(
                target_id=message["target"],
                service=service.name,
                address=message["address"],
                data_centre=message["data_centre"],
                slots=service.engine.slots,
                is_leaving=False,
                slow_start_ms=0.0,
                started_ms=message["born_ms"],
            )
        )
