"""Which streams are alike: kinds of answers and what is known of each.

A stream belongs to a chain of kinds, from wide to narrow: the service, the
class of the limit that its caller asked for, the opening of its prompt,
which streams of one template share, and the customer. Where an opening is
not seen again, the customer comes right after the limit. Each kind leans on
the next wider one until it has seen enough itself. Only the kinds seen most
are kept apart, so that the state is bounded whatever the number of
customers; all others share the wide ones.
"""

from collections import abc
import typing

from gentianpoint_agent import length_distributions

__all__ = ("LengthEstimator", "StreamLength")

_KINDS_KEPT: typing.Final = 96
_OPENING_CHARACTERS: typing.Final = 24
_REPEATS_TO_KEEP: typing.Final = 3


class _KindTable:
    """The distributions of the kinds seen most.

    The counts are those of the space-saving algorithm: a new kind takes the
    place of the one seen least and inherits its count, so that one with more
    than its share of all streams is never lost.
    """

    def __init__(self) -> None:
        self._counts: typing.Final[dict[abc.Hashable, int]] = {}
        self._kinds: typing.Final[
            dict[abc.Hashable, length_distributions.LengthDistribution]
        ] = {}

    def note(
        self,
        key: abc.Hashable,
        parent: length_distributions.LengthDistribution,
    ) -> length_distributions.LengthDistribution:
        """Count a stream of a kind and return what the kind learns."""
        count = self._counts.pop(key, None)
        if count is None:
            count = self._make_room()
        # The order of the map is that of last use, so among kinds seen
        # equally little the one unused for longest goes.
        self._counts[key] = count + 1
        known = self._kinds.get(key)
        if known is not None:
            return known
        if count + 1 < _REPEATS_TO_KEEP:
            return parent
        made = length_distributions.LengthDistribution(parent)
        self._kinds[key] = made
        return made

    def _make_room(self) -> int:
        if len(self._counts) < _KINDS_KEPT:
            return 0
        rarest = min(self._counts, key=self._counts.__getitem__)
        self._kinds.pop(rarest, None)
        return self._counts.pop(rarest)

    def count_groups(self) -> int:
        """Return the number of kinds kept."""
        return len(self._counts)


class StreamLength:
    """The length of one stream, which teaches its kinds as it grows."""

    def __init__(
        self,
        chain: abc.Sequence[length_distributions.LengthDistribution],
    ) -> None:
        """Teach the kinds of ``chain``, the narrowest last."""
        self._chain: typing.Final = chain
        self.distribution: typing.Final = chain[-1]
        self.tokens = 0
        self._place = 0
        self._place_end = length_distributions.find_class_end(0)

    def add_token(self) -> bool:
        """Count a token; True when the stream came into another class."""
        self.tokens += 1
        if self.tokens < self._place_end:
            return False
        reached = length_distributions.find_class(self.tokens)
        for place in range(self._place, reached):
            for kind in self._chain:
                kind.add_survivor(place)
        self._place = reached
        self._place_end = length_distributions.find_class_end(reached)
        return True

    def end(self) -> None:
        """Tell that the answer was whole; a cut one tells nothing more."""
        for kind in self._chain:
            kind.add_end(self._place)


class LengthEstimator:
    """What is known of the lengths of all answers of a target."""

    def __init__(self) -> None:
        """Know nothing."""
        self.service: typing.Final = length_distributions.LengthDistribution()
        self._limits: typing.Final[
            dict[int, length_distributions.LengthDistribution]
        ] = {}
        self._customers: typing.Final = _KindTable()
        self._openings: typing.Final = _KindTable()
        self._templates: typing.Final = _KindTable()

    def make_stream(
        self, customer: str, prompt: str, max_tokens: int
    ) -> StreamLength:
        """Return the length of a new stream, not started yet.

        ``max_tokens`` is the limit that the caller asked for; 0 for none.
        """
        limit = length_distributions.find_class(max_tokens)
        by_limit = self._limits.get(limit)
        if by_limit is None:
            by_limit = length_distributions.LengthDistribution(self.service)
            self._limits[limit] = by_limit
        opening = prompt[:_OPENING_CHARACTERS]
        by_opening = self._openings.note((limit, opening), by_limit)
        # A template tells more of a length than the customer does, and all
        # customers together teach it sooner than each alone would.
        if by_opening is by_limit:
            by_customer = self._customers.note((customer, limit), by_limit)
        else:
            by_customer = self._templates.note(
                (customer, limit, opening), by_opening
            )
        chain = [self.service, by_limit]
        for kind in (by_opening, by_customer):
            if kind is not chain[-1]:
                chain.append(kind)
        return StreamLength(chain)

    def count_groups(self) -> int:
        """Return the number of kinds kept apart."""
        return (
            len(self._limits)
            + self._customers.count_groups()
            + self._openings.count_groups()
            + self._templates.count_groups()
        )
