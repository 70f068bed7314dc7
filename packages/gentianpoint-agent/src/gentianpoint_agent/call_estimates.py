"""Outlooks: what is expected of a call, from what earlier ones did."""

import typing

from gentianpoint_agent import admission_policy
from gentianpoint_agent import length_estimators
from gentianpoint_agent import prompt_sizes

__all__ = ("CallEstimator",)

_SHORT_TOKENS: typing.Final = 64
_SHORT_SHARE: typing.Final = 0.9
_PROMPT_COST: typing.Final = 0.1


class CallEstimator:
    """Learns lengths of answers and sizes of prompts at one target."""

    def __init__(self) -> None:
        """Know nothing."""
        self.lengths: typing.Final = length_estimators.LengthEstimator()
        self._prompts: typing.Final = prompt_sizes.PromptSizes()

    def estimate_call(
        self, profile: admission_policy.CallProfile, service_limit: int
    ) -> admission_policy.CallEstimate:
        """Return what to expect of a call.

        ``service_limit`` is the service's most tokens of an answer; 0 for
        no limit.
        """
        limits = [
            row for row in (profile.max_tokens, service_limit) if row > 0
        ]
        limit = min(limits, default=0)
        # By the limit that was asked for, not the one in force: a program
        # that sets none is another than one that sets the service's.
        length = self.lengths.make_stream(
            profile.customer, profile.prompt, profile.max_tokens
        )
        expected = length.distribution.find_mean()
        likely = length.distribution.find_quantile(0, _SHORT_SHARE)
        if limit:
            expected, likely = min(expected, limit), min(likely, limit)
        prompt_tokens = self._prompts.estimate(profile.prompt)
        return admission_policy.CallEstimate(
            length,
            prompt_tokens,
            limit,
            expected,
            self.find_cost(prompt_tokens, expected),
            likely <= _SHORT_TOKENS,
        )

    def find_cost(self, prompt_tokens: int, tokens: float) -> float:
        """Return the charge of a call in tokens generated.

        A prompt's tokens are computed many at a time, so they cost less.
        """
        return max(1.0, tokens + _PROMPT_COST * prompt_tokens)

    def note_prompt(self, prompt: str, tokens: int) -> None:
        """Learn from the engine's count of a prompt's tokens."""
        self._prompts.note(prompt, tokens)
