"""Estimates the size of prompts in tokens from the engine's counts."""

import math
import typing

__all__ = ("PromptSizes",)

_INITIAL_TOKENS_PER_CHARACTER: typing.Final = 0.5
"""Assumed ratio before the first count, in tokens per character."""
_SMOOTHING: typing.Final = 0.05
"""Weight of a new prompt in the ratio."""


class PromptSizes:
    """Moving average of the tokens per character of prompts.

    An engine reports a prompt's token count only at the end of the stream.
    Until the first stream has ended, prompts are assumed to be larger than
    usual.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._ratio = _INITIAL_TOKENS_PER_CHARACTER
        self._has_count = False

    def estimate(self, prompt: str) -> int:
        """Return the expected number of tokens of a prompt."""
        return math.ceil(len(prompt) * self._ratio) if prompt else 0

    def note(self, prompt: str, tokens: int) -> None:
        """Learn from the token count of a prompt."""
        if not prompt or tokens <= 0:
            return
        ratio = tokens / len(prompt)
        share = _SMOOTHING if self._has_count else 1.0
        self._ratio += share * (ratio - self._ratio)
        self._has_count = True
