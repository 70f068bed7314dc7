"""Orders to an engine: load, unload and change of role.

Orders are carried out one after another. A load reads the weights from the
weight store, at the rate that the store gives, while the old model goes on
serving; then the old model's streams die with it. So do they when the role
changes. A read that the store refuses is tried again after the time that
the store names.
"""

from collections import abc
import math
import typing

import httpx
import trio

__all__ = ("Loaded", "Order", "OrderBook", "TakenOrder")

_RETRY_S: typing.Final = 0.2
_READ_TIMEOUT_S: typing.Final = 30.0


class Loaded(typing.NamedTuple):
    """What an engine has loaded, and as what it serves."""

    model: str
    """Model; empty for none."""
    adapter: str
    """Adapter; empty for none."""
    version: str
    """Version of both."""
    role: str
    """Role."""


class Order(typing.TypedDict):
    """Body of ``POST /orders``."""

    fence: int
    """Fencing number of who gives the order."""
    order: typing.Literal["load", "unload", "role"]
    """What to do."""
    model: str
    """Model to load."""
    adapter: str
    """Adapter to load; empty for none."""
    version: str
    """Version to load."""
    role: str
    """Role to take."""


class TakenOrder(typing.NamedTuple):
    """An order that came, for tests."""

    order: Order
    """The order."""
    refused: bool
    """True when its fencing number was too old."""


class OrderBook:
    """Takes orders, and carries them out in the order they came."""

    def __init__(
        self,
        loaded: Loaded,
        weights_url: str,
        load_ms: int,
        swap: abc.Callable[[], None],
        *,
        fencing: bool,
    ) -> None:
        """Serve ``loaded`` at first.

        ``swap`` is called when what is loaded changes. Without a weight
        store a load takes ``load_ms`` milliseconds. With ``fencing`` an
        order with a lower fencing number than one before is refused.
        """
        self.loaded = loaded
        self.highest = 0
        self.history: typing.Final[list[TakenOrder]] = []
        self._weights_url: typing.Final = weights_url
        self._load_ms: typing.Final = load_ms
        self._swap: typing.Final = swap
        self._fencing: typing.Final = fencing
        self._unfinished = 0
        self._send, self._receive = trio.open_memory_channel[Order](math.inf)

    def is_loading(self) -> bool:
        """Tell whether an order is still to be fulfilled."""
        return self._unfinished > 0

    def take(self, order: Order) -> bool:
        """Take an order; False when its fencing number is too old."""
        refused = self._fencing and order["fence"] < self.highest
        self.history.append(TakenOrder(order, refused))
        if refused:
            return False
        self.highest = max(self.highest, order["fence"])
        self._unfinished += 1
        self._send.send_nowait(order)
        return True

    async def fulfil_orders(self) -> None:
        """Carry out orders for ever."""
        async for order in self._receive:
            if order["order"] == "role":
                self._change(self.loaded._replace(role=order["role"]))
            elif order["order"] == "unload":
                self._change(self.loaded._replace(model="", adapter=""))
            else:
                await self._load(order)
            self._unfinished -= 1

    def _change(self, loaded: Loaded) -> None:
        if loaded != self.loaded:
            self.loaded = loaded
            self._swap()

    async def _load(self, order: Order) -> None:
        old = self.loaded
        wanted = old._replace(
            model=order["model"],
            adapter=order["adapter"],
            version=order["version"],
        )
        if (old.model, old.version) != (wanted.model, wanted.version):
            await self._read_weights(wanted.model, wanted.version)
        if wanted.adapter and old != wanted:
            await self._read_weights(wanted.adapter, wanted.version)
        self._change(wanted)

    async def _read_weights(self, name: str, version: str) -> None:
        if not self._weights_url:
            await trio.sleep(self._load_ms / 1000)
            return
        url = f"{self._weights_url}/weights/{name}/{version}"
        async with httpx.AsyncClient(timeout=_READ_TIMEOUT_S) as client:
            wait_s: typing.Optional[float] = 0.0
            while wait_s is not None:
                await trio.sleep(wait_s)
                wait_s = await self._read_once(client, url)

    async def _read_once(
        self, client: httpx.AsyncClient, url: str
    ) -> typing.Optional[float]:
        """Read weights; return how long to wait when that failed."""
        try:
            async with client.stream("GET", url) as answer:
                if answer.status_code == 429:
                    return float(answer.headers["retry-after"])
                answer.raise_for_status()
                async for _ in answer.aiter_raw():
                    pass
        except httpx.HTTPError:
            return _RETRY_S
        return None
