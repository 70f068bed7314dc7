"""Adapter to the platform's weight store over HTTP."""

import typing

import httpx

from gentianpoint_core import ports

__all__ = ("HttpWeightStore",)

_ANSWER_TIMEOUT_S: typing.Final = 5.0
_REFUSALS: typing.Final = (429, 503)
_RETRY_AFTER_MS: typing.Final = 5000


def _read_retry_after_ms(answer: httpx.Response) -> int:
    """Return the wait that the store asks for, if it tells it in seconds."""
    after = answer.headers.get("retry-after", "")
    return int(after) * 1000 if after.isdecimal() else _RETRY_AFTER_MS


class HttpWeightStore(ports.WeightStore):
    """The weight store at a base URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use ``client`` for requests to the store at ``url``."""
        self._url: typing.Final = url
        self._client: typing.Final = client

    async def read_size(self, model: str, version: str) -> int:
        """Return the size; see :meth:`ports.WeightStore.read_size`."""
        try:
            answer = await self._client.head(
                f"{self._url}/weights/{model}/{version}",
                timeout=_ANSWER_TIMEOUT_S,
            )
            if answer.status_code in _REFUSALS:
                raise ports.PortError(
                    "read weights",
                    self._url,
                    f"status {answer.status_code}",
                    took_effect=False,
                    retry_after_ms=_read_retry_after_ms(answer),
                )
            answer.raise_for_status()
            return int(answer.headers["content-length"])
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise ports.PortError(
                "read weights", self._url, repr(error), took_effect=False
            ) from error
