"""Estimates the length and cost of a call from earlier calls."""

import typing

from gentianpoint_agent import admission_policy
from gentianpoint_agent import length_estimators
from gentianpoint_agent import prompt_sizes

__all__ = ("CallEstimator",)

_SHORT_TOKENS: typing.Final = 64
"""Maximum length of a short answer, in tokens."""
_SHORT_QUANTILE: typing.Final = 0.9
"""Quantile of the length that must be short for a call to count as short."""
_PROMPT_TOKEN_COST: typing.Final = 0.1
"""Cost of a prompt token, in generated tokens."""


class CallEstimator:
    """Learns answer lengths and prompt sizes at one target."""

    def __init__(self) -> None:
        """Start without observations."""
        self.lengths: typing.Final = length_estimators.LengthEstimator()
        self._prompts: typing.Final = prompt_sizes.PromptSizes()

    def estimate_call(
        self, profile: admission_policy.CallProfile, service_limit: int
    ) -> admission_policy.CallEstimate:
        """Return the estimate for a new call.

        ``service_limit`` is the service's maximum length of an answer in
        tokens; 0 for no limit.
        """
        limits = [
            limit for limit in (profile.max_tokens, service_limit) if limit > 0
        ]
        max_tokens = min(limits, default=0)
        # Grouped by the limit that the caller asked for, not the effective
        # one: a program that sets no limit differs from one that asks for
        # the service's maximum.
        length = self.lengths.make_stream(
            profile.customer, profile.prompt, profile.max_tokens
        )
        expected = length.distribution.find_mean()
        likely = length.distribution.find_quantile(0, _SHORT_QUANTILE)
        if max_tokens:
            expected, likely = (
                min(expected, max_tokens),
                min(likely, max_tokens),
            )
        prompt_tokens = self._prompts.estimate(profile.prompt)
        return admission_policy.CallEstimate(
            length,
            prompt_tokens,
            max_tokens,
            expected,
            self.find_cost(prompt_tokens, expected),
            likely <= _SHORT_TOKENS,
        )

    def find_cost(self, prompt_tokens: int, tokens: float) -> float:
        """Return the cost of a call in generated tokens.

        The engine computes many prompt tokens at a time, so each costs less.
        """
        return max(1.0, tokens + _PROMPT_TOKEN_COST * prompt_tokens)

    def note_prompt(self, prompt: str, tokens: int) -> None:
        """Learn from the engine's count of a prompt's tokens."""
        self._prompts.note(prompt, tokens)
