"""Adapter to the platform's weight store over HTTP."""

import typing

import httpx

from gentianpoint_core import ports

__all__ = ("HttpWeightStore",)

_TIMEOUT_S: typing.Final = 5.0
"""Timeout of a request, in seconds."""
_REFUSAL_STATUSES: typing.Final = (429, 503)
"""HTTP statuses with which the store refuses a request for some time."""
_DEFAULT_RETRY_AFTER_MS: typing.Final = 5000
"""Delay if a refusal names none in seconds, in milliseconds."""


def _read_retry_after_ms(response: httpx.Response) -> int:
    """Return the delay in ``Retry-After``, or the default."""
    seconds = response.headers.get("retry-after", "")
    return (
        int(seconds) * 1000 if seconds.isdecimal() else _DEFAULT_RETRY_AFTER_MS
    )


class HttpWeightStore(ports.WeightStore):
    """The weight store at a base URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use ``client`` for requests to the store at ``url``."""
        self._url: typing.Final = url
        self._client: typing.Final = client

    async def read_size(self, model: str, version: str) -> int:
        """Return the size; see :meth:`ports.WeightStore.read_size`."""
        try:
            response = await self._client.head(
                f"{self._url}/weights/{model}/{version}",
                timeout=_TIMEOUT_S,
            )
            if response.status_code in _REFUSAL_STATUSES:
                raise ports.PortError(
                    "read weights",
                    self._url,
                    f"status {response.status_code}",
                    took_effect=False,
                    retry_after_ms=_read_retry_after_ms(response),
                )
            response.raise_for_status()
            return int(response.headers["content-length"])
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise ports.PortError(
                "read weights", self._url, repr(error), took_effect=False
            ) from error
