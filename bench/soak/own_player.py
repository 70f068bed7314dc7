"""The faults of a soak on the project's own interface."""

import hashlib
import typing
import uuid

import httpx
import trio

from bench.soak import facts as seen
from bench.soak import kinds
from bench.soak import own_fleet
from bench.soak import players
from bench.soak import schedule
from gentianpoint_standins import arrivals
from gentianpoint_standins import relay

__all__ = ("OwnPlayer",)

_KEYS_KEPT: typing.Final = 6
"""Versions whose key a later version still has."""
_ANSWER_S: typing.Final = 3.0
_PAUSE_S: typing.Final = 0.2
_ACCEPTED: typing.Final = 200
_LOG_FAULTS: typing.Final[dict[str, dict[str, typing.Any]]] = {
    "log_busy": {"out": True},
    "log_slow": {"slow_ms": 350},
    "log_loses_answers": {"lose_replies": 3},
}
_NO_LOG_FAULTS: typing.Final = {"out": False, "slow_ms": 0, "lose_replies": 0}


class OwnPlayer(players.Player):
    """Disturbs the stand-ins of the project's own interface."""

    def __init__(self, parts: own_fleet.OwnFleet, facts: seen.Facts) -> None:
        """Disturb ``parts`` and note it in ``facts``."""
        super().__init__(parts, facts)
        self._parts: typing.Final = parts
        # Software of each engine that was replaced.
        self._softwares: typing.Final[dict[str, str]] = {}

    async def write(self, version: int) -> float:
        """Write a version; return when it was acknowledged."""
        if version == 1:
            for name, kind in ((kinds.ENGINES, "model"), (kinds.PLAIN,) * 2):
                spec = {"kind": kind, "customers": ["*"]}
                await self._declare("services", name, spec)
            await self._declare(
                "customers", "all", _list_keys("of-all-versions")
            )
        oldest = max(1, version - _KEYS_KEPT)
        numbers = [str(item) for item in range(oldest, version + 1)]
        return await self._declare("customers", "newest", _list_keys(*numbers))

    async def _declare(
        self, kind: str, name: str, spec: dict[str, typing.Any]
    ) -> float:
        """Write a resource through one entry after another."""
        body = {"spec": spec, "base": -1, "change": uuid.uuid4().hex}
        key = {"Authorization": f"Bearer {self._parts.local.operator_key}"}
        async with httpx.AsyncClient(timeout=_ANSWER_S, headers=key) as client:
            while True:
                for place in self._parts.entries:
                    url = f"http://{place.front}/admin/v1/{kind}/{name}"
                    try:
                        answer = await client.put(url, json=body)
                    except httpx.HTTPError:
                        # The same change again, through another entry.
                        continue
                    if answer.status_code == _ACCEPTED:
                        return trio.current_time()
                await trio.sleep(_PAUSE_S)

    async def trouble_log(self, step: schedule.Step) -> None:
        """Let the log have a trouble for the step's time."""
        if step.kind == "log_silent":
            stalled = relay.RelayFaults(stall=True)
            for link in self._parts.log_relays:
                link.apply(stalled)
            await trio.sleep(step.for_s)
            for link in self._parts.log_relays:
                link.apply(relay.RelayFaults())
        elif step.kind in _LOG_FAULTS:
            await self._set_for(
                "log", step, _LOG_FAULTS[step.kind], _NO_LOG_FAULTS
            )

    async def _set_for(
        self,
        name: str,
        step: schedule.Step,
        faults: dict[str, typing.Any],
        no_faults: dict[str, typing.Any],
    ) -> None:
        """Let a stand-in have faults until a later step replaces them."""
        self._latest[name] = step
        await self._parts.set_faults(name, **faults)
        await trio.sleep(step.for_s)
        if self._latest[name] is step:
            await self._parts.set_faults(name, **no_faults)

    def set_notice(
        self, step: schedule.Step, rest_s: typing.Optional[float]
    ) -> None:
        """Do nothing: targets of this interface have no such answers."""

    async def release(self, step: schedule.Step) -> None:
        """Let engines go on with other software, as if started anew.

        Each breaks off its connections and goes on with its streams under
        their identifiers.
        """
        software = self.name_next_software()
        engines = [
            target
            for target in self._parts.targets
            if target.service == kinds.ENGINES
        ]
        now = trio.current_time()
        for number in range(1 + step.changes % len(engines)):
            target = engines[(step.place + number) % len(engines)]
            await self._parts.set_faults(
                target.name, software=software, drop=("*",)
            )
            for name in (self._softwares.get(target.name, ""), software):
                self._facts.servings.append(
                    seen.Serving(target.name, name, now, now)
                )
            self._softwares[target.name] = software
        # What an engine with other software can't go on with is cut.
        self._facts.disturbances.append(
            seen.Disturbance(seen.TARGETS, "release", now, trio.current_time())
        )

    def find_start(self, step: schedule.Step) -> str:
        """Return the present start of the target that a step concerns."""
        return self._parts.name_start(self._find_target(step))

    async def set_limit(
        self, step: schedule.Step, per_s: typing.Optional[float]
    ) -> None:
        """Let a target name a limit from now on, None for none."""
        limit = arrivals.UNLIMITED if per_s is None else per_s
        name = self._find_target(step).name
        await self._parts.set_faults(name, limit_per_s=limit)

    def _find_target(self, step: schedule.Step) -> own_fleet.OwnTarget:
        return self._parts.targets[step.place % len(self._parts.targets)]

    async def trouble_target(self, step: schedule.Step) -> None:
        """Let a target, or the way to it, have a trouble."""
        target = self._find_target(step)
        is_engine = target.service == kinds.ENGINES
        match step.kind:
            case "target_kill":
                target.relay.apply(relay.RelayFaults(cut=True))
            case "target_leave":
                await self._leave(target, step)
            case "target_fails":
                fault = "refuse_starts" if is_engine else "out"
                await self._set_for(
                    target.name, step, {fault: True}, {fault: False}
                )
            case "target_loses_answers":
                fault = "lose_start_replies" if is_engine else "lose_replies"
                await self._set_for(target.name, step, {fault: 2}, {fault: 0})
            case schedule.CUTTING_TARGET if is_engine:
                await self._parts.set_faults(target.name, drop=("*",))
            case schedule.CUTTING_TARGET:
                await self._set_for(
                    target.name, step, {"lose_replies": 2}, {"lose_replies": 0}
                )
            case _:
                is_near = step.place // len(self._parts.targets) % 2
                link = target.relay if is_near else target.agent_relay
                await self.trouble_link(step, link)

    async def _leave(
        self, target: own_fleet.OwnTarget, step: schedule.Step
    ) -> None:
        """Let the host list say for a while that a host leaves."""
        register = self._parts.register
        await trio.to_thread.run_sync(register, target, "leaving")
        await trio.sleep(step.for_s)
        await trio.to_thread.run_sync(register, target, "live")

    async def kill_service(self, step: schedule.Step) -> None:
        """Cut all links to the targets of a service at once."""
        targets = self._parts.targets
        service = targets[step.place % len(targets)].service
        for target in targets:
            if target.service == service:
                target.relay.apply(relay.RelayFaults(cut=True))
                target.agent_relay.apply(relay.RelayFaults(cut=True))


def _list_keys(*names: str) -> dict[str, typing.Any]:
    """Return a customer's specification, with the keys of these names."""
    keys = [f"key-{name}".encode() for name in names]
    return {"key_hashes": [hashlib.sha256(key).hexdigest() for key in keys]}
