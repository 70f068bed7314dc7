"""Output lengths, drawn from distributions that the system never sees.

A prompt names its class by a marker word such as ``kind:report``. The draw
depends only on the engine's seed and on the prompt, so that every engine of
one seed answers a prompt with the same number of tokens. ``tokens:7`` in a
prompt asks for exactly 7.
"""

from collections import abc
import math
import random
import re
import typing

import xxhash

__all__ = ("DEFAULT_CLASSES", "LengthClass", "LengthTable")

_KIND: typing.Final = re.compile(r"\bkind:([a-z]+)")
_TOKENS: typing.Final = re.compile(r"\btokens:([0-9]+)")
_OTHER: typing.Final = "other"
_MINUTE_S: typing.Final = 60.0


class LengthClass(typing.NamedTuple):
    """A lognormal distribution with a cap."""

    mean: float
    """Mean length in tokens, before the cap."""
    spread: float
    """Standard deviation of the logarithm; above 1 is heavy-tailed."""
    cap: int
    """Longest length in tokens."""
    drift: float = 0.0
    """Growth of the logarithm of the mean a minute since it was set."""


DEFAULT_CLASSES: typing.Final[abc.Mapping[str, LengthClass]] = {
    "ticket": LengthClass(6.0, 0.5, 32),
    "phrase": LengthClass(16.0, 0.6, 128),
    "check": LengthClass(40.0, 0.6, 256),
    "report": LengthClass(900.0, 1.0, 8000),
    "script": LengthClass(600.0, 1.1, 8000),
    _OTHER: LengthClass(60.0, 0.7, 1000),
}
"""Classes by the marker word; ``other`` is for prompts without one."""


class LengthTable:
    """Draws the length of the answer to a prompt."""

    def __init__(
        self, seed: int, classes: abc.Mapping[str, LengthClass], now: float
    ) -> None:
        """Draw by ``seed`` from ``classes``, set at ``now`` in seconds."""
        self._seed: typing.Final = seed
        self._classes = dict(classes)
        self._set_at = now

    def set_classes(
        self, classes: abc.Mapping[str, LengthClass], now: float
    ) -> None:
        """Replace the named classes and let drift begin anew at ``now``."""
        self._classes.update(classes)
        self._set_at = now

    def classes(self) -> abc.Mapping[str, LengthClass]:
        """Return the classes in force."""
        return dict(self._classes)

    def draw(self, prompt: str, now: float) -> int:
        """Return the number of tokens of the answer to ``prompt``."""
        if forced := _TOKENS.search(prompt):
            return max(1, int(forced.group(1)))
        kind = _KIND.search(prompt)
        name = kind.group(1) if kind else _OTHER
        drawn = self._classes.get(name, self._classes[_OTHER])
        minutes = (now - self._set_at) / _MINUTE_S
        centre = math.log(drawn.mean) - drawn.spread**2 / 2
        source = random.Random(
            xxhash.xxh64_intdigest(prompt.encode(), seed=self._seed)
        )
        length = source.lognormvariate(
            centre + drawn.drift * minutes, drawn.spread
        )
        return min(drawn.cap, max(1, round(length)))
