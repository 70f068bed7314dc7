"""The generations of one agent, by identifier.

An identifier may be started only once, and only by the run of the process
that issued it. An identifier that is in no table may have run: it is never
started, and nobody is told that it did not run. A generation that an earlier
run started and that the target still has is adopted: its items are read from
the target, and nothing is started.
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
"""Random bytes in the incarnation, which identifies a run of the agent."""
_PREPARED_TTL_MS: typing.Final = 600_000
"""Time for which a prepared identifier can be started, in milliseconds."""
_MAX_PREPARED: typing.Final = 10_000
"""Most prepared identifiers that may wait to be started."""


class PreparedGeneration(typing.NamedTuple):
    """An identifier that has been issued and may be started once."""

    identifier: str
    """The identifier."""
    customer: str
    """Customer that it was issued to."""
    expires_at: deadlines.Deadline
    """Deadline for starting it."""


class GenerationTable:
    """Prepared, running and ended generations of one run of an agent."""

    def __init__(
        self, target: str, retain_ms: int, retain_bytes: int, key: str
    ) -> None:
        """Create an empty table with a new incarnation.

        ``key`` signs identifiers and is the same in all runs of the agent.
        """
        self.incarnation: typing.Final = secrets.token_hex(_INCARNATION_BYTES)
        # Version of the target's software, by its last report.
        self.software = ""
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
                self.software,
            )
        )

    def prepare(self, customer: str) -> PreparedGeneration:
        """Issue an identifier that can be started once, later.

        Raises :class:`errors.CallError` with ``not_run`` when too many
        identifiers wait to be started, so that callers who never start
        theirs can't exhaust memory.
        """
        if len(self._prepared) >= _MAX_PREPARED:
            raise errors.CallError(
                errors.NOT_RUN,
                "too many prepared generations wait to be started",
                step="prepare generation",
                peer=self._target,
                retry_after_ms=_PREPARED_TTL_MS // 10,
            )
        prepared = PreparedGeneration(
            self._make_identifier(customer),
            customer,
            deadlines.make_deadline(_PREPARED_TTL_MS),
        )
        self._prepared[prepared.identifier] = prepared
        return prepared

    def find_attempt(
        self, attempt: str, customer: str
    ) -> typing.Optional[generations.Generation]:
        """Return the generation that an earlier offer of an attempt created.

        An entry that lost its connection offers the same attempt again.
        """
        known = self._attempts.get(attempt)
        if known is None or known.customer != customer:
            return None
        return known

    def create(
        self, attempt: str, customer: str, is_plain: bool, repeatable: bool
    ) -> generations.Generation:
        """Return a new generation for an unknown attempt."""
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
        that this table does not hold: an earlier run may have started it.
        """
        known = self.find(identifier, customer)
        if known is not None:
            return known, False
        prepared = self.require_prepared(identifier, customer)
        del self._prepared[identifier]
        if prepared.expires_at.is_past():
            # The identifier never started and never will, but a second
            # request for it can't be told apart from one that did start.
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
        """Return a prepared identifier that has not been started.

        Raises :class:`errors.CallError` with ``not_run`` for one that was
        refused, and with ``outcome_unknown`` for any other.
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
        """Make sure that a prepared identifier never starts.

        Its caller is told that it did not run and may run another one in its
        place. A duplicate start that arrives once the agent accepts work
        again would run it a second time, and the customer would be billed
        twice.

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
        """Return a new generation for one that an earlier run started.

        Returns None when the identifier belongs to another target, to this
        run or to another customer, or is already held. A target that lists
        the identifier names no customer; the first request whose customer
        matches the identifier's signature sets it then. Whether the
        generation is repeatable is not known here, so it is treated as not
        repeatable.
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
        generation.origin = generations.make_origin(parsed.ok.software_digest)
        generation.confirmed = is_listed
        generation.started = True
        return self._add(generation)

    def _is_owner(self, identifier: str, customer: str) -> bool:
        parsed = generation_ids.parse_generation_id(identifier)
        return parsed.is_ok() and generation_ids.is_owner(
            parsed.ok, customer, self._key
        )

    def cancel(self, identifier: str, customer: str) -> bool:
        """Cancel a customer's generation; False when it is not held.

        A prepared identifier can't be started any more: a start that is
        still in flight would run what its customer has cancelled.
        """
        generation = self.find(identifier, customer)
        if generation is not None:
            generation.cancel()
            # Until the target has shown that it holds an adopted generation,
            # a paused earlier run may wake up and still start it. A customer
            # told that it is cancelled would then be billed for it.
            return generation.confirmed
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
        reveals nothing to others.
        """
        generation = self._running.get(identifier) or self._ended.get(
            identifier
        )
        if generation is not None:
            self._assign_customer(generation, customer)
        if generation is None or generation.customer != customer:
            return None
        return generation

    def _assign_customer(
        self, generation: generations.Generation, customer: str
    ) -> None:
        if generation.customer != generations.UNKNOWN_CUSTOMER:
            return
        if self._is_owner(generation.identifier, customer):
            generation.customer = customer

    def retire(self, generation: generations.Generation) -> None:
        """Move an ended generation to those retained for later reads.

        One that did not run is removed at once. If its identifier was
        prepared, it can't be started later either: a duplicate of the offer
        may still be in flight and would run a call whose customer was told
        that it did not run, and who may have had it run elsewhere since.
        """
        self._running.pop(generation.identifier, None)
        end = generation.end
        if end is not None and end.reason == generations.NOT_RUN:
            self._attempts.pop(generation.attempt, None)
            if generation.prepared:
                self._refused[generation.identifier] = PreparedGeneration(
                    generation.identifier,
                    generation.customer,
                    deadlines.make_deadline(_PREPARED_TTL_MS),
                )
            return
        if not generation.confirmed:
            # A paused earlier run may still wake up and start it, and then
            # it can be read. It is not retained, so that the target is asked
            # again each time.
            return
        generation.retain_until = deadlines.make_deadline(self._retain_ms)
        self._ended[generation.identifier] = generation
        self._ended_bytes += generation.size_bytes

    def drop_expired(self) -> None:
        """Drop what has expired, and the oldest beyond the byte limit."""
        for identifiers in (self._prepared, self._refused):
            for identifier, prepared in tuple(identifiers.items()):
                if not prepared.expires_at.is_past():
                    break
                del identifiers[identifier]
        for identifier, generation in tuple(self._ended.items()):
            is_over_limit = self._ended_bytes > self._retain_bytes
            if not is_over_limit and not generation.retain_until.is_past():
                break
            if not generation.has_readers():
                del self._ended[identifier]
                self._attempts.pop(generation.attempt, None)
                self._ended_bytes -= generation.size_bytes
