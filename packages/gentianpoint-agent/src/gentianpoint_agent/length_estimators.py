"""Groups similar streams and estimates the length of a new stream.

A stream belongs to a chain of groups, from wide to narrow: the service, the
length bin of the limit that its caller asked for, the start of its prompt,
which streams of one template share, and the customer. If a prompt's start
doesn't recur, the customer comes right after the limit. Each group uses the
next wider one as its prior until it has seen enough streams. Only the most
frequent groups have distributions of their own, so that the state is bounded
for any number of customers; all other streams use the wide groups.
"""

from collections import abc
import typing

from gentianpoint_core.decisions import length_distributions

__all__ = ("LengthEstimator", "StreamLength")

_MAX_GROUPS: typing.Final = 96
"""Maximum number of groups in each table."""
_TEMPLATE_CHARACTERS: typing.Final = 24
"""Length of a prompt's start that identifies its template, in characters."""
_MIN_STREAMS: typing.Final = 3
"""Number of streams from which on a group has its own distribution."""


class _GroupTable:
    """The distributions of the most frequent groups.

    The counts follow the space-saving algorithm: a new group replaces the
    least frequent one and inherits its count, so that a group with more than
    its share of all streams is never evicted.
    """

    def __init__(self) -> None:
        self._counts: typing.Final[dict[abc.Hashable, int]] = {}
        self._distributions: typing.Final[
            dict[abc.Hashable, length_distributions.LengthDistribution]
        ] = {}

    def count_stream(
        self,
        key: abc.Hashable,
        parent: length_distributions.LengthDistribution,
    ) -> length_distributions.LengthDistribution:
        """Count a stream of a group and return the distribution to use."""
        count = self._counts.pop(key, None)
        if count is None:
            count = self._make_room()
        # The map is ordered by last use, so among equally frequent groups
        # the least recently used one is evicted.
        self._counts[key] = count + 1
        known = self._distributions.get(key)
        if known is not None:
            return known
        if count + 1 < _MIN_STREAMS:
            return parent
        created = length_distributions.LengthDistribution(parent)
        self._distributions[key] = created
        return created

    def _make_room(self) -> int:
        if len(self._counts) < _MAX_GROUPS:
            return 0
        rarest = min(self._counts, key=self._counts.__getitem__)
        self._distributions.pop(rarest, None)
        return self._counts.pop(rarest)

    def count_groups(self) -> int:
        """Return the number of groups in the table."""
        return len(self._counts)


class StreamLength:
    """The length of one stream; it updates its groups as it grows."""

    def __init__(
        self,
        chain: abc.Sequence[length_distributions.LengthDistribution],
    ) -> None:
        """Update the distributions of ``chain``, the narrowest last."""
        self._chain: typing.Final = chain
        self.distribution: typing.Final = chain[-1]
        self.tokens = 0
        self._bin = 0
        self._bin_end = length_distributions.find_bin_end(0)

    def add_token(self) -> bool:
        """Count a token; return whether the stream reached another bin."""
        self.tokens += 1
        if self.tokens < self._bin_end:
            return False
        reached = length_distributions.find_bin(self.tokens)
        for index in range(self._bin, reached):
            for distribution in self._chain:
                distribution.add_survivor(index)
        self._bin = reached
        self._bin_end = length_distributions.find_bin_end(reached)
        return True

    def end(self) -> None:
        """Record that the answer is complete; not called if it was cut off."""
        for distribution in self._chain:
            distribution.add_end(self._bin)


class LengthEstimator:
    """Estimates the lengths of all answers of a target."""

    def __init__(self) -> None:
        """Start without observations."""
        self.service: typing.Final = length_distributions.LengthDistribution()
        self._limits: typing.Final[
            dict[int, length_distributions.LengthDistribution]
        ] = {}
        self._customers: typing.Final = _GroupTable()
        self._templates: typing.Final = _GroupTable()
        self._customer_templates: typing.Final = _GroupTable()

    def make_stream(
        self, customer: str, prompt: str, max_tokens: int
    ) -> StreamLength:
        """Return the length of a new stream that has not started yet.

        ``max_tokens`` is the limit that the caller asked for; 0 for none.
        """
        limit = length_distributions.find_bin(max_tokens)
        by_limit = self._limits.get(limit)
        if by_limit is None:
            by_limit = length_distributions.LengthDistribution(self.service)
            self._limits[limit] = by_limit
        template = prompt[:_TEMPLATE_CHARACTERS]
        by_template = self._templates.count_stream((limit, template), by_limit)
        # A template says more about the length than the customer does, and
        # it is learned sooner from all customers than from each alone.
        if by_template is by_limit:
            by_customer = self._customers.count_stream(
                (customer, limit), by_limit
            )
        else:
            by_customer = self._customer_templates.count_stream(
                (customer, limit, template), by_template
            )
        chain = [self.service, by_limit]
        for distribution in (by_template, by_customer):
            if distribution is not chain[-1]:
                chain.append(distribution)
        return StreamLength(chain)

    def count_groups(self) -> int:
        """Return the number of groups in all tables."""
        return (
            len(self._limits)
            + self._customers.count_groups()
            + self._templates.count_groups()
            + self._customer_templates.count_groups()
        )
