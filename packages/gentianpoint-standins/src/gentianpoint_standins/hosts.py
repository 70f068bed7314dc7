"""Stand-in for the platform's list of hosts, which lags.

Run as ``python -m gentianpoint_standins.hosts --listen 127.0.0.1:0``. It
serves what docs/design/platform-interfaces.md says, and ``POST /faults``
with the fields of :class:`HostFaults`.
"""

from collections import abc
import gzip
import typing

import msgspec
import quart
import quart_trio
import trio
import typer

from gentianpoint_standins import faults
from gentianpoint_standins import serving

__all__ = ("HostFaults", "HostRow", "HostService", "main")

_KEPT_S: typing.Final = 120.0
_COMPRESSION_LEVEL: typing.Final = 1


class HostRow(typing.TypedDict):
    """One host as the platform registers it."""

    role: typing.Literal["entry", "agent"]
    """What stands on the host."""
    service: str
    """Service of an agent's target; empty for an entry."""
    target: str
    """Target of an agent; empty for an entry."""
    address: str
    """IP number and port of the system's process."""
    data_centre: str
    """Data centre of the host."""
    state: typing.Literal["live", "leaving"]
    """Whether the host stays."""


class HostFaults(typing.NamedTuple):
    """Faults of the host list."""

    lag_ms: int = 0
    """Age of the list that readers see, milliseconds."""
    out: bool = False
    """True when every call of a reader is answered with 503."""
    slow_ms: int = 0
    """Delay before each reader's call is looked at, milliseconds."""


def _answer_compressed(body: bytes) -> quart.Response:
    """Return a JSON answer, compressed if the reader takes that."""
    answer = quart.Response(body, content_type="application/json")
    if "gzip" in quart.request.headers.get("Accept-Encoding", ""):
        answer.set_data(gzip.compress(body, _COMPRESSION_LEVEL))
        answer.headers["Content-Encoding"] = "gzip"
    return answer


class _Version(typing.NamedTuple):
    made_at: float
    hosts: abc.Mapping[str, HostRow]


class HostService:
    """The calls of the host list."""

    def __init__(self, lag_ms: int) -> None:
        """Show readers the list as of ``lag_ms`` milliseconds ago."""
        self._faults = HostFaults(lag_ms=lag_ms)
        self._versions = [_Version(0.0, {})]

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application."""
        app = serving.make_app("hosts")
        path = "/hosts/<host>"
        app.add_url_rule("/hosts", view_func=self.read, methods=["GET"])
        app.add_url_rule(path, view_func=self.put, methods=["PUT"])
        app.add_url_rule(path, view_func=self.delete, methods=["DELETE"])
        app.add_url_rule("/faults", view_func=self.change, methods=["POST"])
        return app

    def _add_version(self, hosts: abc.Mapping[str, HostRow]) -> None:
        now = trio.current_time()
        self._versions.append(_Version(now, hosts))
        # The newest of the versions past keeping is still what a reader with
        # the longest lag has to see, so it stays.
        while (
            len(self._versions) > 2
            and self._versions[1].made_at < now - _KEPT_S
        ):
            del self._versions[0]

    async def read(self) -> quart.Response:
        """Show the hosts as of the lag ago."""
        await trio.sleep(self._faults.slow_ms / 1000)
        if self._faults.out:
            return serving.answer_refusal(503, "out")
        seen_at = trio.current_time() - self._faults.lag_ms / 1000
        seen: abc.Mapping[str, HostRow] = {}
        for version in self._versions:
            if version.made_at <= seen_at:
                seen = version.hosts
        rows = [{"host": host, **row} for host, row in sorted(seen.items())]
        return _answer_compressed(msgspec.json.encode({"hosts": rows}))

    async def put(self, host: str) -> quart.Response:
        """Register a host, or change it."""
        body = await serving.read_body()
        row = msgspec.json.decode(body, type=HostRow)
        self._add_version({**self._versions[-1].hosts, host: row})
        return serving.answer_json({"host": host})

    async def delete(self, host: str) -> quart.Response:
        """Forget a host."""
        hosts = dict(self._versions[-1].hosts)
        known = hosts.pop(host, None) is not None
        self._add_version(hosts)
        return serving.answer_json({"known": known})

    async def change(self) -> quart.Response:
        """Change the faults."""
        body = await serving.read_body()
        self._faults = faults.change_faults(self._faults, body)
        return serving.answer_json(self._faults._asdict())


def main(
    listen: serving.Listen = serving.ANY_PORT,
    lag_ms: typing.Annotated[
        int, typer.Option(help="Age of the list that readers see.")
    ] = 0,
) -> None:
    """Serve a host list."""

    async def serve() -> None:
        service = HostService(lag_ms)
        await serving.serve_app(service.make_app(), "hosts", listen)

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
