"""Entries that tell each other of outages on a clock of their own."""

import typing

from gentianpoint_core.decisions import target_outages

KEY: typing.Final = "target/1"
STEP_S: typing.Final = 0.005


class Entries:
    """Some entries, and the news on the way between them."""

    def __init__(self, count: int, delay_s: float) -> None:
        self.members: typing.Final = frozenset(
            f"10.0.{number // 200}.{number % 200}:80"
            for number in range(count)
        )
        self.all: typing.Final = [
            target_outages.TargetOutages(name, lambda: self.members)
            for name in sorted(self.members)
        ]
        self.now = 0.0
        self._delay_s: typing.Final = delay_s
        self._seen: typing.Final = [0] * count
        self._under_way: typing.Final[
            list[tuple[float, target_outages.OutageNews]]
        ] = []

    def step(self) -> None:
        """Let a moment pass, and news arrive that is due."""
        self.now += STEP_S
        for number, entry in enumerate(self.all):
            if entry.changes != self._seen[number]:
                self._under_way.extend(
                    (self.now + self._delay_s, news)
                    for news in entry.list_since(self._seen[number])
                )
                self._seen[number] = entry.changes
        due = [news for at, news in self._under_way if at <= self.now]
        self._under_way[:] = [
            item for item in self._under_way if item[0] > self.now
        ]
        for news in due:
            for number, entry in enumerate(self.all):
                entry.merge(news, self.now)
                self._seen[number] = entry.changes

    def wait(self, seconds: float) -> None:
        """Let some seconds pass."""
        until = self.now + seconds
        while self.now < until:
            self.step()

    def count_senders(self, key: str = KEY) -> int:
        """Return how many entries may send to a target now."""
        return sum(entry.may_send(key, self.now) for entry in self.all)
