"""Placement by two choices.

Of two targets drawn at random the better one gets the call. Taking the best
of all would send all entries to the same target until its next report; the
better of two keeps most of the gain and none of the herding. To the two
drawn, the target is added that holds most of the prompt's prefix. A target
of another data centre is taken when the chosen one here is full.
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

_DRAWN: typing.Final = 2
_PREFIX_BONUS: typing.Final = 0.3
_DISTANCE: typing.Final = 0.25
_TRY_SLOW_MS: typing.Final = 3000.0
_LINKS_REMEMBERED: typing.Final = 1024


class TwoChoicesPolicy(placement_policy.PlacementPolicy):
    """The better of two, by load, pace and prefix."""

    def __init__(self, data_centre: str, source: random.Random) -> None:
        """Prefer targets of ``data_centre``; draw from ``source``."""
        self._data_centre: typing.Final = data_centre
        self._source: typing.Final = source
        self._chosen_ms: typing.Final[dict[str, float]] = {}

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the better of two; see the module."""
        usual_ms = link_scores.find_usual_pace(candidates)
        digests = prefix_digests.digest_prefixes(prompt)
        near = [
            link
            for link in candidates
            if link.host.data_centre == self._data_centre
        ]
        far = [
            link
            for link in candidates
            if link.host.data_centre != self._data_centre
        ]
        best, score = self._choose_among(near, digests, usual_ms)
        if best is None or score >= link_scores.FULL_SCORE:
            other, other_score = self._choose_among(far, digests, usual_ms)
            if best is None or other_score + _DISTANCE < score:
                best = other
        assert best is not None
        self._note_chosen(best)
        return best

    def _choose_among(
        self,
        links: abc.Sequence[agent_links.AgentLink],
        digests: abc.Sequence[int],
        usual_ms: float,
    ) -> tuple[typing.Optional[agent_links.AgentLink], float]:
        if not links:
            return None, float("inf")
        drawn = self._source.sample(links, min(_DRAWN, len(links)))
        held = {link: _measure_held(link, digests) for link in links}
        holder = max(links, key=lambda link: held[link])
        if held[holder] > 0 and holder not in drawn:
            drawn.append(holder)
        scores = [
            self._score(link, usual_ms) - _PREFIX_BONUS * held[link]
            for link in drawn
        ]
        best = min(range(len(drawn)), key=lambda place: scores[place])
        return drawn[best], scores[best]

    def _score(self, link: agent_links.AgentLink, usual_ms: float) -> float:
        load = link_scores.score_load(link)
        penalty = link_scores.find_pace_penalty(link, usual_ms)
        is_free = load < link_scores.FULL_SCORE
        if penalty and is_free and self._is_due(link):
            # What is slow gets a call now and then; else nobody would ever
            # notice that it has recovered.
            return 0.0
        return load + penalty

    def _is_due(self, link: agent_links.AgentLink) -> bool:
        chosen_ms = self._chosen_ms.get(link.host.host, 0.0)
        return deadlines.read_clock_ms() - chosen_ms >= _TRY_SLOW_MS

    def _note_chosen(self, link: agent_links.AgentLink) -> None:
        self._chosen_ms.pop(link.host.host, None)
        self._chosen_ms[link.host.host] = deadlines.read_clock_ms()
        if len(self._chosen_ms) > _LINKS_REMEMBERED:
            del self._chosen_ms[next(iter(self._chosen_ms))]


def _measure_held(
    link: agent_links.AgentLink, digests: abc.Sequence[int]
) -> float:
    """Return the share of the prompt's chunks that a target holds."""
    if not digests:
        return 0.0
    held = itertools.takewhile(link.prefixes.__contains__, digests)
    return sum(1 for _ in held) / len(digests)
