"""Adapter to the platform's log service over HTTP."""

import base64
import typing

import httpx
import msgspec

from gentianpoint_core import ports

__all__ = ("HttpLog",)

_ANSWER_TIMEOUT_S: typing.Final = 5.0


class HttpLog(ports.Log):
    """The log service at a base URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use ``client`` for requests to the service at ``url``."""
        self._url: typing.Final = url
        self._client: typing.Final = client

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append one record; see :meth:`ports.Log.append_record`."""
        step = f"append to {stream}"
        try:
            answer = await self._client.post(
                f"{self._url}/streams/{stream}/records",
                content=data,
                timeout=_ANSWER_TIMEOUT_S,
            )
        except httpx.ConnectError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
        except httpx.HTTPError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=True
            ) from error
        if answer.status_code != 200:
            # A gateway in between may answer 5xx after the record was
            # appended; only refusals of the service itself are certain.
            raise ports.PortError(
                step,
                self._url,
                f"status {answer.status_code}",
                took_effect=answer.status_code not in (413, 429),
            )
        return int(answer.json()["offset"])

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Read records; see :meth:`ports.Log.read_records`."""
        step = f"read {stream}"
        try:
            answer = await self._client.get(
                f"{self._url}/streams/{stream}/records",
                params={"from": start, "limit": limit, "wait_ms": wait_ms},
                timeout=_ANSWER_TIMEOUT_S + wait_ms / 1000,
            )
            answer.raise_for_status()
            body = msgspec.json.decode(answer.content)
            return ports.LogSlice(
                body["first"],
                body["next"],
                tuple(
                    ports.LogRecord(
                        record["offset"], base64.b64decode(record["data"])
                    )
                    for record in body["records"]
                ),
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
