"""Sizes of prompts in tokens, learned from what the engine counts."""

import math
import typing

__all__ = ("PromptSizes",)

_FIRST_TOKENS_PER_CHARACTER: typing.Final = 0.5
_SHARE: typing.Final = 0.05


class PromptSizes:
    """Tokens per character of prompts.

    An engine counts a prompt's tokens only at the stream's end. Until the
    first has ended, a prompt is taken to be larger than is usual.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._ratio = _FIRST_TOKENS_PER_CHARACTER
        self._seen = False

    def estimate(self, prompt: str) -> int:
        """Return the expected number of tokens of a prompt."""
        return math.ceil(len(prompt) * self._ratio) if prompt else 0

    def note(self, prompt: str, tokens: int) -> None:
        """Learn from the number of tokens of a prompt."""
        if not prompt or tokens <= 0:
            return
        ratio = tokens / len(prompt)
        share = _SHARE if self._seen else 1.0
        self._ratio += share * (ratio - self._ratio)
        self._seen = True
