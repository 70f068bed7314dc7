"""Placement by the power of two random choices.

Of two randomly sampled targets, the one with the lower score gets the call.
If every entry chose the best of all targets, they would all choose the same
one until its next report; the better of two samples keeps most of the
benefit and avoids this herding. The target that caches the longest prefix of
the prompt is added to the sample. A target in another data centre is
considered only when the best local one is full.
"""

from collections import abc
import itertools
import random
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_scores
from gentianpoint_entry import placement_policy
from gentianpoint_entry import prefix_digests

__all__ = ("TwoChoicesPolicy",)

_SAMPLE_SIZE: typing.Final = 2
"""Targets that are sampled at random."""
_PREFIX_BONUS: typing.Final = 0.3
"""Score subtracted when the whole prompt is cached."""
_REMOTE_PENALTY: typing.Final = 0.25
"""Score added to targets in other data centres."""
_SLOW_PROBE_MS: typing.Final = 3000.0
"""Interval between calls that probe a slow target, in milliseconds."""
_MAX_REMEMBERED_LINKS: typing.Final = 1024
"""Agents whose last call time is kept."""


class TwoChoicesPolicy(placement_policy.PlacementPolicy):
    """Compares two sampled links by load, pace and cached prefix."""

    def __init__(self, data_centre: str, generator: random.Random) -> None:
        """Prefer targets of ``data_centre``; sample with ``generator``."""
        self._data_centre: typing.Final = data_centre
        self._random: typing.Final = generator
        self._chosen_ms: typing.Final[dict[str, float]] = {}

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the link with the lower score, see the module."""
        median_ms = link_scores.compute_median_pace(candidates)
        digests = prefix_digests.digest_prefixes(prompt)
        local = [
            link
            for link in candidates
            if link.host.data_centre == self._data_centre
        ]
        remote = [
            link
            for link in candidates
            if link.host.data_centre != self._data_centre
        ]
        best, score = self._choose_among(local, digests, median_ms)
        if best is None or score >= link_scores.FULL_SCORE:
            other, other_score = self._choose_among(remote, digests, median_ms)
            if best is None or other_score + _REMOTE_PENALTY < score:
                best = other
        assert best is not None
        self._record_choice(best)
        return best

    def _choose_among(
        self,
        links: abc.Sequence[agent_links.AgentLink],
        digests: abc.Sequence[int],
        median_ms: float,
    ) -> tuple[typing.Optional[agent_links.AgentLink], float]:
        if not links:
            return None, float("inf")
        sampled = self._random.sample(links, min(_SAMPLE_SIZE, len(links)))
        held = {link: _measure_prefix_share(link, digests) for link in links}
        holder = max(links, key=lambda link: held[link])
        if held[holder] > 0 and holder not in sampled:
            sampled.append(holder)
        scores = [
            self._score(link, median_ms) - _PREFIX_BONUS * held[link]
            for link in sampled
        ]
        best = min(range(len(sampled)), key=lambda index: scores[index])
        return sampled[best], scores[best]

    def _score(self, link: agent_links.AgentLink, median_ms: float) -> float:
        load = link_scores.score_load(link)
        penalty = link_scores.compute_pace_penalty(link, median_ms)
        has_room = load < link_scores.FULL_SCORE
        if penalty and has_room and self._is_probe_due(link):
            # A slow target gets an occasional call, since its recovery would
            # otherwise never be noticed.
            return 0.0
        return load + penalty

    def _is_probe_due(self, link: agent_links.AgentLink) -> bool:
        chosen_ms = self._chosen_ms.get(link.host.host, 0.0)
        return deadlines.read_clock_ms() - chosen_ms >= _SLOW_PROBE_MS

    def _record_choice(self, link: agent_links.AgentLink) -> None:
        self._chosen_ms.pop(link.host.host, None)
        self._chosen_ms[link.host.host] = deadlines.read_clock_ms()
        if len(self._chosen_ms) > _MAX_REMEMBERED_LINKS:
            del self._chosen_ms[next(iter(self._chosen_ms))]


def _measure_prefix_share(
    link: agent_links.AgentLink, digests: abc.Sequence[int]
) -> float:
    """Return the share of the prompt's chunks that a target caches."""
    if not digests:
        return 0.0
    held = itertools.takewhile(link.prefixes.__contains__, digests)
    return sum(1 for _ in held) / len(digests)
