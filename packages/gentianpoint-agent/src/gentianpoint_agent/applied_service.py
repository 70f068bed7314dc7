"""The service resource in force at this agent."""

import typing

import trio

from gentianpoint_agent import desired_states
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import specifications
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages
from gentianpoint_core.generated import resources

__all__ = ("AppliedService",)

_UNDECLARED: typing.Final[resources.ServiceSpec] = {
    "kind": "model",
    "customers": [],
}


def _decode(service: bytes) -> resources.ServiceSpec:
    if not service:
        return _UNDECLARED
    return specifications.decode_service(service)


class AppliedService:
    """What entries told about the service, of which the newest counts.

    Several entries tell, some later than others. An entry that was paused
    wakes up with an old resource; an agent that took it would let an
    accepted change revert. So only a higher configuration offset counts.
    """

    def __init__(
        self,
        name: str,
        unload_at: deadlines.Deadline = deadlines.NO_DEADLINE,
    ) -> None:
        """Start with nothing declared for the service ``name``.

        When it is still undeclared at ``unload_at`` its engine is to be
        unloaded.
        """
        self.name: typing.Final = name
        self.offset = 0
        self.revision = 0
        self.replicas = 0
        self.spec: resources.ServiceSpec = _UNDECLARED
        self._changed = trio.Event()
        self._unload_at = unload_at

    def get_desired_state(self) -> desired_states.DesiredState:
        """Return what the service's engines are to hold.

        A service that was deleted is to be unloaded at once. One that was
        not declared since this process started may have been deleted
        before, or may be declared soon: its engine is left for a while.
        """
        wanted = desired_states.make_desired_state(self.spec)
        if self.offset and not self.revision:
            return wanted._replace(unloaded=self._unload_at.is_past())
        return wanted

    def apply(self, message: messages.Configure) -> bool:
        """Take the resource if it is newer; tell whether it was.

        Raises :class:`msgspec.DecodeError`, and changes nothing, when the
        resource is none.
        """
        if message["offset"] <= self.offset:
            if message["offset"] == self.offset:
                # Targets come and go without a change of the configuration.
                self.replicas = message["replicas"]
            return False
        spec = self.spec
        if message["revision"] != self.revision:
            spec = _decode(message["service"])
        self.offset = message["offset"]
        self.replicas = message["replicas"]
        if message["revision"] != self.revision:
            self.revision = message["revision"]
            self.spec = spec
            self._unload_at = deadlines.Deadline(0.0)
            logs.log_event(
                events.CONFIGURATION_APPLIED,
                offset=self.offset,
                revision=self.revision,
                service=self.name,
            )
            self._note_ignored(message["service"])
            self._changed.set()
            self._changed = trio.Event()
        return True

    def _note_ignored(self, service: bytes) -> None:
        """Tell which fields of the resource this version does not read."""
        for field in specifications.list_ignored_fields(
            specifications.SERVICE, service or b"{}"
        ):
            logs.log_event(
                events.FIELD_IGNORED,
                kind=specifications.SERVICE,
                name=self.name,
                field=field,
            )

    async def wait_changed(self) -> None:
        """Wait until another revision is in force."""
        await self._changed.wait()
