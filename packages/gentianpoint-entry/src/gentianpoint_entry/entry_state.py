"""What the request handlers of one entry share."""

import itertools
import typing

from gentianpoint_core import configuration
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_core import specifications
from gentianpoint_core.generated import messages
from gentianpoint_core.generated import resources
from gentianpoint_entry import call_requests
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import dispatch
from gentianpoint_entry import key_claims
from gentianpoint_entry import retry_budgets
from gentianpoint_entry.generated import settings as entry_settings

__all__ = ("CallOptions", "EntryState", "serves_customer")

_ALL_CUSTOMERS: typing.Final = "*"
_DEFAULT_PRIORITY: typing.Final = 5
_LEAVING_RETRY_MS: typing.Final = 500
_UNLOADED: typing.Final = "unloaded"
_UNLOADED_RETRY_MS: typing.Final = 10_000


class CallOptions(typing.NamedTuple):
    """What a caller says beside the request itself."""

    repeatable: typing.Optional[bool]
    """False when it may run at most once; None when the service decides."""
    within_ms: int
    """Time left to finish, milliseconds; 0 for no limit."""
    generation: str
    """Prepared identifier to start; empty for none."""
    key: str = ""
    """Idempotency key; empty for none."""


def serves_customer(spec: resources.ServiceSpec, customer: str) -> bool:
    """Tell whether a service answers a customer."""
    return bool({customer, _ALL_CUSTOMERS} & set(spec["customers"]))


def _check_loaded(service: str, spec: resources.ServiceSpec) -> None:
    """Refuse what the service's engines are not to run.

    Only for calls without an identifier: one with an identifier may have
    run already, which its home alone can tell.
    """
    if spec.get("state") == _UNLOADED:
        raise errors.CallError(
            errors.NOT_RUN,
            "the service is declared unloaded",
            step="find service",
            peer=service,
            retry_after_ms=_UNLOADED_RETRY_MS,
        )


class EntryState:
    """Settings, configuration, dispatcher and the calls in flight."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        tail: configuration_tail.ConfigurationTail,
        log: ports.Log,
        dispatcher: dispatch.Dispatcher,
        keys: key_claims.KeyClaims,
        incarnation: str,
    ) -> None:
        """Serve by ``dispatcher`` what ``tail`` says is declared."""
        self.settings: typing.Final = settings
        self.tail: typing.Final = tail
        self.log: typing.Final = log
        self.dispatcher: typing.Final = dispatcher
        self.keys: typing.Final = keys
        self.leaving = False
        self._incarnation: typing.Final = incarnation
        self._numbers: typing.Final = itertools.count(1)

    def find_service(self, name: str, customer: str) -> resources.ServiceSpec:
        """Return the service if it answers the customer.

        Raises ``unknown_service`` otherwise, the same for a service that
        exists for others, so that a stranger learns nothing.
        """
        resource = self.tail.state.find_resource(configuration.SERVICE, name)
        if resource is not None:
            spec = specifications.decode_service(resource.spec)
            if serves_customer(spec, customer):
                return spec
        raise errors.CallError(
            errors.UNKNOWN_SERVICE,
            f"there is no service {name} for this customer",
            step="find service",
        )

    def _find_customer(self, name: str) -> resources.CustomerSpec:
        resource = self.tail.state.find_resource(configuration.CUSTOMER, name)
        if resource is None:
            return {"key_hashes": []}
        return specifications.decode_customer(resource.spec)

    def make_call_request(
        self,
        service: str,
        customer: str,
        request: messages.Request,
        options: CallOptions,
        repeatable_by_default: bool = True,
    ) -> call_requests.CallRequest:
        """Return the request with all that resources say about it."""
        self._check_room(bool(options.generation or options.key))
        spec = self.find_service(service, customer)
        wanted_kind = "plain" if request["kind"] == "plain" else "model"
        if spec["kind"] != wanted_kind:
            raise errors.CallError(
                errors.INVALID_REQUEST,
                f"the service {service} is of kind {spec['kind']}",
                step="find service",
            )
        if not options.generation:
            _check_loaded(service, spec)
        owner = self._find_customer(customer)
        start_ms = self.settings.start_within_ms
        finish_by = deadlines.NO_DEADLINE
        if options.within_ms:
            start_ms = min(start_ms, options.within_ms)
            finish_by = deadlines.make_deadline(options.within_ms)
        repeatable = options.repeatable
        if repeatable is None:
            repeatable = spec.get("repeatable", repeatable_by_default)
        if options.key:
            repeatable = False
        return call_requests.CallRequest(
            self.make_request_identifier(),
            service,
            customer,
            owner.get("weight", 1.0),
            owner.get("max_concurrent", 0),
            owner.get("priority", spec.get("priority", _DEFAULT_PRIORITY)),
            repeatable,
            request,
            deadlines.make_deadline(start_ms),
            finish_by,
            options.generation,
            spec.get("retry_share", retry_budgets.DEFAULT_RETRY_SHARE),
        )

    def make_request_identifier(self) -> str:
        """Return an identifier for one caller's request."""
        return f"{self._incarnation}-{next(self._numbers)}"

    def _check_room(self, may_have_run: bool) -> None:
        """Refuse when the entry takes no more.

        What has an identifier or a key may have been started through
        another entry: only its home can say that it did not run.
        """
        reason = ""
        if self.leaving:
            reason = "this entry is leaving"
        elif self.dispatcher.count_calls() >= self.settings.max_calls:
            reason = "this entry has too many calls in flight"
        if reason:
            raise errors.CallError(
                errors.OUTCOME_UNKNOWN if may_have_run else errors.NOT_RUN,
                reason,
                step="take request",
                peer=self.settings.name,
                retry_after_ms=_LEAVING_RETRY_MS,
            )
