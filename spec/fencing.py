"""Specification of orders to an engine that two agents may command.

An agent's start record in the log gives it a fencing number: its offset.
The old agent may be paused and wake up. An engine that checks the number
refuses it. For an engine that does not, the old agent's lease is checked on
its own clock just before each order and the new agent waits it out; what
slips through a pause between check and order is compared and put right.

An order loads a version, unloads, or changes the role. The engine carries
orders out after it has taken them, and drops its calls when one changes it;
so an agent lets its calls end first and takes none until the order is
carried out, also when the answer to the order was lost.
"""

from collections import abc
import enum
import typing

import minicheck

__all__ = ("PROPERTIES", "SCOPES", "Guard", "Scope", "build_fencing")


class Guard(enum.StrEnum):
    """Rules of orders; each can be taken out to show its need."""

    FENCE_CHECK = "fence_check"
    """An engine that checks refuses a lower number than the highest seen."""
    FENCE_FROM_LOG = "fence_from_log"
    """The number is the offset of the start record, not a local counter."""
    LEASE_CHECK = "lease_check"
    """An agent checks its lease on its own clock just before an order."""
    WAIT_OUT_OLD_LEASE = "wait_out_old_lease"
    """A new agent gives no order before the old lease has ended."""
    COMPARE_WITH_REPORT = "compare_with_report"
    """An agent compares what the engine reports with what is wanted."""
    ORDER_STATES_THE_END = "order_states_the_end"
    """An order names the wanted version, so a repeat changes nothing."""
    CALLS_END_FIRST = "calls_end_first"
    """An agent gives no order while a call of its own runs."""
    LOST_ANSWER_HOLDS = "lost_answer_holds"
    """After a lost answer calls wait until the order was carried out."""


class Held(typing.NamedTuple):
    """What an engine holds, or shall hold."""

    version: int
    """Version; 0 for nothing."""
    role: int
    """Role."""


class Order(typing.NamedTuple):
    """An order on its way to the engine."""

    fence: int
    """Fencing number of its sender."""
    sender: int
    """Agent that sent it."""
    kind: str
    """``load``, ``unload`` or ``role``."""
    value: int
    """Version or role; -1 for the next one, without the guard."""


class Agent(typing.NamedTuple):
    """An agent that commands the engine, or did."""

    holds: bool
    """Whether it believes that it may give orders."""
    lease: bool
    """Whether its lease lasts by its own clock."""
    checked: bool = False
    """Whether it is between its check and its order."""
    orders: int = 0
    """Orders sent."""
    released: bool = False
    """Whether it takes calls although an order may still be carried out."""


class Budget(typing.NamedTuple):
    """How often each of these may still happen."""

    pauses: int = 0
    """Leases that end between an agent's check and its order."""
    delays: int = 0
    """Leases that end while an order is on its way."""
    lost_replies: int = 0
    """Replies lost after the effect; the order is sent again."""
    calls: int = 0
    """Calls that come to the old agent."""


class State(typing.NamedTuple):
    """Two agents and their engine."""

    old: Agent
    """The agent that started first."""
    new: Agent
    """The agent that takes its place."""
    orders: tuple[Order, ...]
    """Orders on their way; they may overtake one another."""
    taken: tuple[Order, ...]
    """Orders that the engine took and has not carried out, in order."""
    held: Held
    """What the engine holds."""
    ends: tuple[Held, Held]
    """What each agent wants; the new one knows the later wish."""
    highest: int
    """Highest fencing number that the engine saw."""
    latest: int
    """Latest agent whose order was carried out: the witness."""
    budget: Budget
    """What may still happen."""
    went_back: bool = False
    """Whether an order of the old agent came after one of the new."""
    call: bool = False
    """Whether a call of the old agent runs."""
    cut: bool = False
    """Whether a call was cut by an order of its own agent."""


class Scope(typing.NamedTuple):
    """Bounds of one check."""

    name: str
    """Name in reports."""
    engine_checks: bool
    """Whether the engine refuses old fencing numbers."""
    budget: Budget
    """What may happen."""
    ends: tuple[Held, Held] = (Held(1, 1), Held(2, 1))
    """What each agent wants."""


_OLD: typing.Final = 0
_NEW: typing.Final = 1
_BUILT_WITH: typing.Final = Held(0, 1)
_UNLOADED: typing.Final = Held(0, 1)
_OTHER_ROLE: typing.Final = Held(1, 2)
_NEXT: typing.Final = -1
_MOST_ORDERS: typing.Final = (1, 4)
_IN_FLIGHT: typing.Final = 3

_SCOPES: typing.Final = (
    Scope("checking", True, Budget(pauses=1, delays=1, lost_replies=1)),
    Scope("ignoring in time", False, Budget(lost_replies=1)),
    Scope(
        "ignoring and late", False, Budget(pauses=1, delays=1, lost_replies=1)
    ),
    Scope(
        "unloading",
        True,
        Budget(pauses=1, delays=1, lost_replies=1, calls=1),
        (Held(1, 1), _UNLOADED),
    ),
    Scope(
        "unloading, ignoring",
        False,
        Budget(lost_replies=1, calls=1),
        (Held(1, 1), _UNLOADED),
    ),
    Scope(
        "changing role",
        True,
        Budget(pauses=1, delays=1, lost_replies=1, calls=1),
        (Held(1, 1), _OTHER_ROLE),
    ),
    Scope(
        "changing role, ignoring",
        False,
        Budget(lost_replies=1, calls=1),
        (Held(1, 1), _OTHER_ROLE),
    ),
)

SCOPES: typing.Final[typing.Mapping[str, Scope]] = {
    scope.name: scope for scope in _SCOPES
}
"""The checks, by name."""


class _Rules(typing.NamedTuple):
    scope: Scope
    without: typing.Optional[Guard]

    def keep(self, guard: Guard) -> bool:
        return guard is not self.without


_Action: typing.TypeAlias = tuple[str, State]


def build_fencing(
    scope: Scope, without: typing.Optional[Guard] = None
) -> minicheck.Protocol:
    """Return the model for a scope, perhaps with one guard taken out."""
    rules = _Rules(scope, without)
    initial = State(
        old=Agent(holds=True, lease=True),
        new=Agent(holds=False, lease=True),
        orders=(),
        taken=(),
        held=_BUILT_WITH,
        ends=scope.ends,
        highest=0,
        latest=_OLD,
        budget=scope.budget,
    )

    def list_actions(state: State) -> list[_Action]:
        return list(_list_actions(rules, state))

    return minicheck.Protocol(
        name=f"fencing, {scope.name}",
        candidate=without is None,
        fields=State._fields,
        initial=initial,
        transitions=list_actions,
        invariants=dict(PROPERTIES),
        goal=_wanted_is_held,
    )


def _list_actions(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    yield from _end_lease(state)
    if not state.new.holds:
        # The new agent's clock may be slow or fast: it waits until the old
        # one's has surely ended, which the model takes for known.
        waited = not state.old.lease
        if waited or not rules.keep(Guard.WAIT_OUT_OLD_LEASE):
            agent = state.new._replace(holds=True)
            yield "the new agent takes over", state._replace(new=agent)
    for number in (_OLD, _NEW):
        yield from _command(rules, state, number)
    for order in sorted(set(state.orders)):
        yield from _arrive(rules, state, order)
    if state.taken:
        yield _carry_out(state)
    yield from _serve(state)


def _serve(state: State) -> abc.Iterator[_Action]:
    """Let a call begin or end at the old agent."""
    if state.call:
        yield "the call ends", state._replace(call=False)
        return
    busy = state.old.checked or _has_orders(state, _OLD)
    spent = _spend(state, "calls")
    if spent is not None and (not busy or state.old.released):
        yield "a call begins", spent._replace(call=True)


def _has_orders(state: State, number: int) -> bool:
    return any(
        order.sender == number for order in (*state.orders, *state.taken)
    )


def _end_lease(state: State) -> abc.Iterator[_Action]:
    if not state.old.lease:
        return
    spent: typing.Optional[State] = state
    if state.old.checked:
        spent = _spend(state, "pauses")
    elif any(order.sender == _OLD for order in state.orders):
        spent = _spend(state, "delays")
    if spent is not None:
        agent = spent.old._replace(lease=False)
        yield "the old agent's lease ends", spent._replace(old=agent)


def _command(
    rules: _Rules, state: State, number: int
) -> abc.Iterator[_Action]:
    agent = (state.old, state.new)[number]
    name = ("old", "new")[number]
    if not agent.holds or agent.orders == _MOST_ORDERS[number]:
        return
    if agent.checked:
        sent = agent._replace(checked=False, orders=agent.orders + 1)
        after = _put_agent(state, number, sent)
        after = _send(rules, after, number)
        yield f"the {name} agent sends its order", after
        return
    has_lease = agent.lease or not rules.keep(Guard.LEASE_CHECK)
    if has_lease and _wants_order(rules, state, number):
        checked = agent._replace(checked=True)
        after = _put_agent(state, number, checked)
        yield f"the {name} agent checks its lease", after


def _wants_order(rules: _Rules, state: State, number: int) -> bool:
    agent = (state.old, state.new)[number]
    if _has_orders(state, number):
        return False
    runs = state.call and number == _OLD
    if runs and rules.keep(Guard.CALLS_END_FIRST):
        return False
    if rules.keep(Guard.COMPARE_WITH_REPORT):
        return state.held != state.ends[number]
    return agent.orders == 0


def _choose_order(held: Held, wanted: Held) -> tuple[str, int]:
    """Return the kind and value of the next order; the load comes first."""
    if held.version == wanted.version and held.role != wanted.role:
        return "role", wanted.role
    if wanted.version == 0:
        return "unload", 0
    return "load", wanted.version


def _send(rules: _Rules, state: State, number: int) -> State:
    if len(state.orders) == _IN_FLIGHT:
        return state
    fence = number + 1 if rules.keep(Guard.FENCE_FROM_LOG) else 1
    kind, value = _choose_order(state.held, state.ends[number])
    if kind != "unload" and not rules.keep(Guard.ORDER_STATES_THE_END):
        value = _NEXT
    order = Order(fence, number, kind, value)
    return state._replace(orders=tuple(sorted((*state.orders, order))))


def _arrive(
    rules: _Rules, state: State, order: Order
) -> abc.Iterator[_Action]:
    name = ("old", "new")[order.sender]
    label = f"the {name} agent's order arrives"
    orders = list(state.orders)
    orders.remove(order)
    rest = state._replace(orders=tuple(orders))
    checks = rules.scope.engine_checks and rules.keep(Guard.FENCE_CHECK)
    if checks and order.fence < state.highest:
        yield f"{label} and is refused", rest
        return
    done = rest._replace(
        taken=(*rest.taken, order),
        highest=max(state.highest, order.fence),
        latest=max(state.latest, order.sender),
        went_back=state.went_back or order.sender < state.latest,
    )
    yield label, done
    spent = _spend(done, "lost_replies")
    if spent is not None:
        again = _send_again(spent, order)
        if not rules.keep(Guard.LOST_ANSWER_HOLDS):
            agent = (again.old, again.new)[order.sender]
            again = _put_agent(
                again, order.sender, agent._replace(released=True)
            )
        yield f"{label}, its reply is lost, it is sent again", again


def _send_again(state: State, order: Order) -> State:
    if len(state.orders) == _IN_FLIGHT:
        return state
    return state._replace(orders=tuple(sorted((*state.orders, order))))


def _carry_out(state: State) -> _Action:
    """Carry the order out that the engine took first."""
    order, *rest = state.taken
    held = state.held
    if order.kind == "role":
        role = held.role + 1 if order.value == _NEXT else order.value
        held = held._replace(role=role)
    else:
        next_version = held.version + 1
        version = next_version if order.value == _NEXT else order.value
        held = held._replace(version=version)
    cuts = state.call and held != state.held
    own = cuts and order.sender == _OLD
    after = state._replace(
        taken=tuple(rest),
        held=held,
        call=state.call and not cuts,
        cut=state.cut or own,
    )
    return f"the engine carries out {order.kind}", after


def _put_agent(state: State, number: int, agent: Agent) -> State:
    if number == _OLD:
        return state._replace(old=agent)
    return state._replace(new=agent)


def _spend(state: State, kind: str) -> typing.Optional[State]:
    left = getattr(state.budget, kind)
    if left == 0:
        return None
    return state._replace(budget=state.budget._replace(**{kind: left - 1}))


_Fields: typing.TypeAlias = typing.Mapping[str, typing.Any]


def _old_never_follows_new(fields: _Fields) -> bool:
    return not fields["went_back"]


def _only_wanted_states(fields: _Fields) -> bool:
    wanted = (_BUILT_WITH, *fields["ends"])
    held = fields["held"]
    return held.version in {row.version for row in wanted} and (
        held.role in {row.role for row in wanted}
    )


def _no_call_is_cut(fields: _Fields) -> bool:
    return not fields["cut"]


PROPERTIES: typing.Final[
    typing.Mapping[str, abc.Callable[[_Fields], bool]]
] = {
    "old_never_follows_new": _old_never_follows_new,
    "only_wanted_states": _only_wanted_states,
    "no_call_is_cut": _no_call_is_cut,
}
"""What must hold in every reachable state."""


def _wanted_is_held(fields: _Fields) -> bool:
    """Tell whether the engine holds what the new agent wants, for good."""
    return (
        fields["held"] == fields["ends"][_NEW]
        and not fields["orders"]
        and not fields["taken"]
        and not fields["old"].lease
        and not fields["old"].checked
    )
