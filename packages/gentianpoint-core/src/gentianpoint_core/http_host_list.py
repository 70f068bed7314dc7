"""Adapter to the platform's host list over HTTP."""

from collections import abc
import typing

import httpx
import msgspec

from gentianpoint_core import ports

__all__ = ("HttpHostList",)

_TIMEOUT_S: typing.Final = 3.0
"""Timeout of a request, in seconds."""


class HttpHostList(ports.HostList):
    """The host list at a base URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use ``client`` for requests to the list at ``url``."""
        self._url: typing.Final = url
        self._client: typing.Final = client
        self._read_bytes = 0

    async def read_hosts(self) -> abc.Sequence[ports.Host]:
        """Read the list; see :meth:`ports.HostList.read_hosts`."""
        try:
            response = await self._client.get(
                f"{self._url}/hosts", timeout=_TIMEOUT_S
            )
            response.raise_for_status()
            self._read_bytes = response.num_bytes_downloaded
            body = msgspec.json.decode(response.content)
            return msgspec.convert(
                [
                    [row[field] for field in ports.Host._fields]
                    for row in body["hosts"]
                ],
                list[ports.Host],
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise ports.PortError(
                "read hosts", self._url, repr(error), took_effect=False
            ) from error

    def count_read_bytes(self) -> int:
        """Return the size; see :meth:`ports.HostList.count_read_bytes`."""
        return self._read_bytes
