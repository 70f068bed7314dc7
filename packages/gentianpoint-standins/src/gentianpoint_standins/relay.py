"""A TCP relay with faults, to stand between two processes.

Run as ``python -m gentianpoint_standins.relay --listen 127.0.0.1:0 --to
127.0.0.1:8090``. ``POST /faults`` at its control URL takes the fields of
:class:`RelayFaults`; ``GET /witness`` counts connections and bytes.
"""

import typing

import quart
import quart_trio
import trio
import typer

from gentianpoint_core import option_types
from gentianpoint_standins import counts
from gentianpoint_standins import faults
from gentianpoint_standins import relay_links
from gentianpoint_standins import serving

__all__ = ("Relay", "RelayFaults", "main")


class RelayFaults(typing.NamedTuple):
    """Faults of a relay."""

    cut: bool = False
    """True resets the connections of this moment."""
    silence: typing.Literal["none", "existing", "all"] = "none"
    """Which connections pass nothing more, for good, while staying open.

    ``existing`` are those of this moment; ``all`` are new ones too, for as
    long as the fault is on.
    """
    direction: relay_links.Direction = "both"
    """Direction that falls silent."""
    stall: bool = False
    """True holds bytes back until it is False again."""
    delay_ms: int = 0
    """Time that bytes take in each direction, milliseconds."""
    refuse: bool = False
    """True resets new connections at once."""


class Relay:
    """Accepts connections and passes them on to one address."""

    def __init__(self, to: str) -> None:
        """Pass connections on to the address ``to``."""
        self._to: typing.Final = option_types.split_address(to)
        self._faults = RelayFaults()
        self._conditions: typing.Final = relay_links.LinkConditions()
        self._links: typing.Final[set[relay_links.Link]] = set()
        self._counts: typing.Final = counts.Counts(
            ("connections", "ended", "forward", "backward", "withheld")
        )

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application that controls the relay."""
        app = serving.make_app("relay")
        app.add_url_rule("/faults", view_func=self.change, methods=["POST"])
        app.add_url_rule("/witness", view_func=self.show, methods=["GET"])
        return app

    async def accept(self, near: trio.SocketStream) -> None:
        """Pass one connection on until it ends."""
        self._counts.add("connections")
        if self._faults.refuse:
            relay_links.reset_connection(near)
            return
        try:
            far = await trio.open_tcp_stream(*self._to)
        except OSError:
            relay_links.reset_connection(near)
            return
        link = relay_links.Link(near, far, self._conditions, self._counts.add)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)
            self._counts.add("ended")

    async def change(self) -> quart.Response:
        """Change the faults."""
        body = await serving.read_body()
        self.apply(faults.change_faults(self._faults, body))
        return serving.answer_json(self._faults._asdict())

    def apply(self, changed: RelayFaults) -> None:
        """Let other faults hold from now on."""
        directions = frozenset(
            ("forward", "backward")
            if changed.direction == "both"
            else (changed.direction,)
        )
        if changed.cut:
            for link in self._links:
                link.reset()
        if changed.silence == "existing":
            for link in self._links:
                link.silence(directions)
        always = changed.silence == "all"
        self._conditions.silent = directions if always else frozenset()
        self._conditions.delay_ms = changed.delay_ms
        self._conditions.stalled = changed.stall
        self._conditions.wake()
        self._faults = changed._replace(
            cut=False, silence="all" if always else "none"
        )

    async def show(self) -> quart.Response:
        """Show the counts, once they are as asked for."""
        if refusal := await self._counts.wait_as_asked():
            return refusal
        return serving.answer_json(
            {"open": len(self._links), **self._counts.read()}
        )


def main(
    to: typing.Annotated[
        str, typer.Option(help="IP number and port to pass on to.")
    ],
    listen: serving.Listen = serving.ANY_PORT,
    control: serving.Listen = serving.ANY_PORT,
) -> None:
    """Relay connections; the faults are set at the control address."""

    async def serve() -> None:
        relay = Relay(to)
        host, port = option_types.split_address(listen)
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, relay.accept, listeners)
            control_url = await serving.open_app(
                nursery, relay.make_app(), control
            )
            serving.announce(
                "relay", f"http://{bound[0]}:{bound[1]}", control_url
            )

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
