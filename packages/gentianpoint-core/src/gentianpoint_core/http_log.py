"""Adapter to the platform's log service over HTTP."""

import base64
import typing

import httpx
import msgspec

from gentianpoint_core import log_eras
from gentianpoint_core import ports

__all__ = ("HttpLog",)

_ERA_HEADER: typing.Final = "Gentianpoint-Log-Era"
"""Header with the number of times that the log came back from a copy."""
_MAX_ERA_DIGITS: typing.Final = 6
"""Largest number of digits of an era that is read."""
_TIMEOUT_S: typing.Final = 5.0
"""Timeout of a request in seconds, not counting a requested wait."""


class HttpLog(ports.Log):
    """The log service at a base URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use ``client`` for requests to the service at ``url``."""
        self._url: typing.Final = url
        self._client: typing.Final = client
        self._eras: typing.Final = log_eras.LogEras()

    def find_newest_era(self) -> int:
        """Return the highest era that any answer has shown so far."""
        return self._eras.newest

    def _note_era(self, response: httpx.Response) -> int:
        """Note the era of an answer, and return it.

        One that names none, or no number, counts as one of the newest era.
        """
        text = response.headers.get(_ERA_HEADER, "")
        if not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
            return self._eras.newest
        self._eras.note(int(text))
        return int(text)

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record; see :meth:`ports.Log.append_record`."""
        step = f"append to {stream}"
        try:
            response = await self._client.post(
                f"{self._url}/streams/{stream}/records",
                content=data,
                timeout=_TIMEOUT_S,
            )
        except httpx.ConnectError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
        except httpx.HTTPError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=True
            ) from error
        self._note_era(response)
        if response.status_code != 200:
            # A gateway may respond with 5xx although the record was
            # appended. Only 413 and 429 come from the service itself, which
            # has then refused the record.
            raise ports.PortError(
                step,
                self._url,
                f"status {response.status_code}",
                took_effect=response.status_code not in (413, 429),
            )
        try:
            return int(response.json()["offset"])
        except (ValueError, KeyError, TypeError) as error:
            # The answer was broken off, or is not the log's.
            raise ports.PortError(
                step, self._url, repr(error), took_effect=True
            ) from error

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Read records; see :meth:`ports.Log.read_records`."""
        step = f"read {stream}"
        try:
            response = await self._client.get(
                f"{self._url}/streams/{stream}/records",
                params={"from": start, "limit": limit, "wait_ms": wait_ms},
                timeout=_TIMEOUT_S + wait_ms / 1000,
            )
            era = self._note_era(response)
            response.raise_for_status()
            body = msgspec.json.decode(response.content)
            return ports.LogSlice(
                body["first"],
                body["next"],
                tuple(
                    ports.LogRecord(
                        record["offset"], base64.b64decode(record["data"])
                    )
                    for record in body["records"]
                ),
                era,
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
