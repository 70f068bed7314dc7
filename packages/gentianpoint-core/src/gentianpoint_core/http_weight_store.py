"""Adapter to the platform's weight store over HTTP."""

import typing

import httpx

from gentianpoint_core import ports

__all__ = ("HttpWeightStore",)

_ANSWER_TIMEOUT_S: typing.Final = 5.0


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
            answer.raise_for_status()
            return int(answer.headers["content-length"])
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise ports.PortError(
                "read weights", self._url, repr(error), took_effect=False
            ) from error
