"""The generations of one agent, by identifier.

Only the run of the process that gave an identifier out may start it, and
only once. Identifiers that were given out but are in no table any more may
have run: nothing is ever started for them, and nobody is told that they did
not run. What an earlier run started, and the target still has, is adopted: it
is read on here, and nothing is started for it.
"""

from collections import abc
import secrets
import typing

from gentianpoint_agent import generations
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import generation_ids

__all__ = ("GenerationTable", "PreparedGeneration")

_INCARNATION_BYTES: typing.Final = 6
_PREPARED_WITHIN_MS: typing.Final = 600_000
_MOST_PREPARED: typing.Final = 10_000


class PreparedGeneration(typing.NamedTuple):
    """An identifier that may be started once."""

    identifier: str
    """The identifier."""
    customer: str
    """Customer it was given to."""
    expires_at: deadlines.Deadline
    """Until when it can be started."""


class GenerationTable:
    """Prepared, running and ended generations of one run of an agent."""

    def __init__(
        self, target: str, retain_ms: int, retain_bytes: int, key: str
    ) -> None:
        """Make an empty table with a new incarnation.

        ``key`` signs identifiers; it is the same in all runs of the agent.
        """
        self.incarnation: typing.Final = secrets.token_hex(_INCARNATION_BYTES)
        self._target: typing.Final = target
        self._key: typing.Final = key
        self._retain_ms: typing.Final = retain_ms
        self._retain_bytes: typing.Final = retain_bytes
        self._last_number = 0
        self._ended_bytes = 0
        self._prepared: dict[str, PreparedGeneration] = {}
        self._refused: dict[str, PreparedGeneration] = {}
        self._attempts: dict[str, generations.Generation] = {}
        self._running: dict[str, generations.Generation] = {}
        self._ended: dict[str, generations.Generation] = {}

    def list_running(self) -> abc.Sequence[generations.Generation]:
        """Return the generations that have not ended."""
        return tuple(self._running.values())

    def has_unread(self) -> bool:
        """Tell whether an ended generation is still being read."""
        return any(item.has_readers() for item in self._ended.values())

    def _make_identifier(self, customer: str) -> str:
        self._last_number += 1
        return generation_ids.format_generation_id(
            generation_ids.make_generation_id(
                self._target,
                self.incarnation,
                self._last_number,
                customer,
                self._key,
            )
        )

    def prepare(self, customer: str) -> PreparedGeneration:
        """Give out an identifier for one later start.

        Raises :class:`errors.CallError` with ``not_run`` when too many wait
        to be started, so that callers who never start any can't fill the
        memory.
        """
        if len(self._prepared) >= _MOST_PREPARED:
            raise errors.CallError(
                errors.NOT_RUN,
                "too many prepared generations wait to be started",
                step="prepare generation",
                peer=self._target,
                retry_after_ms=_PREPARED_WITHIN_MS // 10,
            )
        prepared = PreparedGeneration(
            self._make_identifier(customer),
            customer,
            deadlines.make_deadline(_PREPARED_WITHIN_MS),
        )
        self._prepared[prepared.identifier] = prepared
        return prepared

    def find_attempt(
        self, attempt: str, customer: str
    ) -> typing.Optional[generations.Generation]:
        """Return the generation that an earlier offer of an attempt made.

        An entry whose connection was lost offers the same attempt again.
        """
        known = self._attempts.get(attempt)
        if known is None or known.customer != customer:
            return None
        return known

    def create(
        self, attempt: str, customer: str, is_plain: bool, repeatable: bool
    ) -> generations.Generation:
        """Return a new generation for an attempt that is not known."""
        generation = generations.Generation(
            self._make_identifier(customer), customer, is_plain, repeatable
        )
        generation.attempt = attempt
        self._attempts[attempt] = generation
        return self._add(generation)

    def start_prepared(
        self, identifier: str, customer: str, is_plain: bool, repeatable: bool
    ) -> tuple[generations.Generation, bool]:
        """Return the generation of an identifier, and whether it is new.

        A second start attaches to the first. Raises
        :class:`errors.CallError` with ``outcome_unknown`` for an identifier
        that this table does not hold: it may have run in an earlier life.
        """
        known = self.find(identifier, customer)
        if known is not None:
            return known, False
        prepared = self.require_prepared(identifier, customer)
        del self._prepared[identifier]
        if prepared.expires_at.is_past():
            # The identifier never started and now never will, but a second
            # request for it can't be told from one that did start.
            raise errors.CallError(
                errors.OUTCOME_UNKNOWN,
                "the identifier has expired",
                step="start prepared generation",
                peer=self._target,
            )
        generation = generations.Generation(
            identifier, customer, is_plain, repeatable
        )
        generation.prepared = True
        return self._add(generation), True

    def require_prepared(
        self, identifier: str, customer: str
    ) -> PreparedGeneration:
        """Return an identifier that waits here to be started.

        Raises :class:`errors.CallError` with ``not_run`` for one that was
        refused, else with ``outcome_unknown``.
        """
        self._check_not_refused(identifier, customer)
        prepared = self._prepared.get(identifier)
        if prepared is None or prepared.customer != customer:
            raise errors.CallError(
                errors.OUTCOME_UNKNOWN,
                "the identifier is not held here; it may have run",
                step="start prepared generation",
                peer=self._target,
            )
        return prepared

    def refuse_prepared(self, identifier: str, customer: str) -> None:
        """Never start an identifier that waits here.

        Its caller is told that it did not run and may have another one run.
        A duplicate of the start that comes when the agent takes work again
        would run it a second time, and it would be on the bill twice.

        Raises :class:`errors.CallError` as :meth:`require_prepared` does.
        """
        prepared = self.require_prepared(identifier, customer)
        self._refused[identifier] = prepared
        del self._prepared[identifier]

    def adopt(
        self,
        identifier: str,
        is_plain: bool,
        customer: str = generations.UNKNOWN_CUSTOMER,
    ) -> typing.Optional[generations.Generation]:
        """Return a new generation for what an earlier run has started.

        None when the identifier is of another target, of this run, held
        already, or not the customer's. A target that lists it names no
        customer; then the first who asks shows by the identifier that it is
        the customer. Whether it may be repeated is not known here, so it is
        treated as one that may not.
        """
        parsed = generation_ids.parse_generation_id(identifier)
        if parsed.is_error() or parsed.ok.target != self._target:
            return None
        if parsed.ok.incarnation == self.incarnation:
            return None
        if identifier in self._running or identifier in self._ended:
            return None
        is_listed = customer == generations.UNKNOWN_CUSTOMER
        if not is_listed and not self._is_owner(identifier, customer):
            return None
        generation = generations.Generation(
            identifier, customer, is_plain, False
        )
        generation.adopted = True
        generation.found = is_listed
        generation.started = True
        return self._add(generation)

    def _is_owner(self, identifier: str, customer: str) -> bool:
        parsed = generation_ids.parse_generation_id(identifier)
        return parsed.is_ok() and generation_ids.is_owner(
            parsed.ok, customer, self._key
        )

    def cancel(self, identifier: str, customer: str) -> bool:
        """Cancel a customer's generation; False when it is not held.

        A prepared identifier is spent: a start of it that is still on the
        way would else run what its customer has cancelled.
        """
        generation = self.find(identifier, customer)
        if generation is not None:
            generation.cancel()
            # While the target has not shown that it holds an adopted one, an
            # earlier run that wakes up may still start it. Its customer, told
            # that it is cancelled, would find it on the bill.
            return generation.found
        prepared = self._prepared.get(identifier)
        if prepared is None or prepared.customer != customer:
            return False
        self.refuse_prepared(identifier, customer)
        return True

    def _check_not_refused(self, identifier: str, customer: str) -> None:
        refused = self._refused.get(identifier)
        if refused is not None and refused.customer == customer:
            raise errors.CallError(
                errors.NOT_RUN,
                "the identifier was refused; prepare another one",
                step="start prepared generation",
                peer=self._target,
                retry_after_ms=1,
            )

    def _add(
        self, generation: generations.Generation
    ) -> generations.Generation:
        self._running[generation.identifier] = generation
        return generation

    def find(
        self, identifier: str, customer: str
    ) -> typing.Optional[generations.Generation]:
        """Return a customer's generation, or None.

        Another customer's generation is None too, so that an identifier
        tells a stranger nothing.
        """
        found = self._running.get(identifier) or self._ended.get(identifier)
        if found is not None:
            self._learn_customer(found, customer)
        if found is None or found.customer != customer:
            return None
        return found

    def _learn_customer(
        self, generation: generations.Generation, customer: str
    ) -> None:
        if generation.customer != generations.UNKNOWN_CUSTOMER:
            return
        if self._is_owner(generation.identifier, customer):
            generation.customer = customer

    def retire(self, generation: generations.Generation) -> None:
        """Move an ended generation to those kept for a while.

        One that did not run is forgotten at once. A prepared identifier of
        such a one never starts later either: a duplicate of the offer may
        still be on the way, and would run what the customer was told did
        not run and has perhaps had run elsewhere since.
        """
        self._running.pop(generation.identifier, None)
        end = generation.end
        if end is not None and end.reason == generations.NOT_RUN:
            self._attempts.pop(generation.attempt, None)
            if generation.prepared:
                self._refused[generation.identifier] = PreparedGeneration(
                    generation.identifier,
                    generation.customer,
                    deadlines.make_deadline(_PREPARED_WITHIN_MS),
                )
            return
        if not generation.found:
            # An earlier run that wakes up may start it yet, and then it can
            # be read; the target is asked anew each time.
            return
        generation.forget_at = deadlines.make_deadline(self._retain_ms)
        self._ended[generation.identifier] = generation
        self._ended_bytes += generation.size_bytes

    def forget_expired(self) -> None:
        """Drop what is kept too long, and the oldest beyond the limit."""
        for kept in (self._prepared, self._refused):
            for identifier, prepared in tuple(kept.items()):
                if not prepared.expires_at.is_past():
                    break
                del kept[identifier]
        for identifier, generation in tuple(self._ended.items()):
            too_much = self._ended_bytes > self._retain_bytes
            if not too_much and not generation.forget_at.is_past():
                break
            if not generation.has_readers():
                del self._ended[identifier]
                self._attempts.pop(generation.attempt, None)
                self._ended_bytes -= generation.size_bytes
