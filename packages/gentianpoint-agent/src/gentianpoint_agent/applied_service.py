"""The service resource that this agent has applied."""

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
"""Specification of a service that is not declared."""


def _decode(service: bytes) -> resources.ServiceSpec:
    if not service:
        return _UNDECLARED
    return specifications.decode_service(service)


class AppliedService:
    """The newest service resource among those that entries sent.

    Several entries send it, some later than others. An entry that was paused
    resumes with an old resource, and an agent that applied it would revert
    an accepted change. So only a higher configuration offset is applied.
    """

    def __init__(
        self,
        name: str,
        unload_at: deadlines.Deadline = deadlines.NO_DEADLINE,
    ) -> None:
        """Start without a declaration of the service ``name``.

        If it is still undeclared at ``unload_at``, its engine is to be
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
        """Return the desired state of the service's engines.

        A deleted service is to be unloaded at once. One that has not been
        declared since this process started may have been deleted earlier or
        may be declared soon, so its engine is left as it is for a while.
        """
        desired = desired_states.make_desired_state(self.spec)
        if self.offset and not self.revision:
            return desired._replace(unloaded=self._unload_at.is_past())
        return desired

    def apply(self, message: messages.Configure) -> bool:
        """Apply the resource if it is newer; return whether it was.

        Raises :class:`msgspec.DecodeError`, and changes nothing, if the
        resource can't be decoded.
        """
        if message["offset"] <= self.offset:
            if message["offset"] == self.offset:
                # The number of targets changes without a new configuration.
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
            self._log_ignored_fields(message["service"])
            self._changed.set()
            self._changed = trio.Event()
        return True

    def _log_ignored_fields(self, service: bytes) -> None:
        """Log the fields of the resource that this version doesn't use."""
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
        """Wait until another revision has been applied."""
        await self._changed.wait()
