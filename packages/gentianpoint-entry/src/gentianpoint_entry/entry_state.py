"""State and checks that the request handlers of one entry share."""

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
"""Retry-After of calls that a leaving or full entry refuses, milliseconds."""
_UNLOADED: typing.Final = "unloaded"
_UNLOADED_RETRY_MS: typing.Final = 10_000
"""Retry-After of calls of a service declared unloaded, milliseconds."""


class CallOptions(typing.NamedTuple):
    """Options that a caller gives in headers of its request."""

    repeatable: typing.Optional[bool]
    """False when the request may run at most once; None for the service's
    default."""
    timeout_ms: int
    """Time within which the call has to end, milliseconds; 0 for no limit."""
    generation: str
    """Identifier of a prepared generation to start; empty for none."""
    key: str = ""
    """Idempotency key; empty for none."""


def serves_customer(spec: resources.ServiceSpec, customer: str) -> bool:
    """Tell whether a customer may call a service."""
    return bool({customer, _ALL_CUSTOMERS} & set(spec["customers"]))


def _check_loaded(service: str, spec: resources.ServiceSpec) -> None:
    """Raise ``not_run`` if the service is declared unloaded.

    Only for calls without a generation identifier. A call with one may have
    run already, which only the agent that holds the generation can tell.
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
    """Settings, configuration, dispatcher and idempotency keys."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        tail: configuration_tail.ConfigurationTail,
        log: ports.Log,
        dispatcher: dispatch.Dispatcher,
        keys: key_claims.KeyClaims,
        incarnation: str,
    ) -> None:
        """Serve the services that ``tail`` has through ``dispatcher``."""
        self.settings: typing.Final = settings
        self.tail: typing.Final = tail
        self.log: typing.Final = log
        self.dispatcher: typing.Final = dispatcher
        self.keys: typing.Final = keys
        self.leaving = False
        self._incarnation: typing.Final = incarnation
        self._request_numbers: typing.Final = itertools.count(1)

    def find_service(self, name: str, customer: str) -> resources.ServiceSpec:
        """Return the service if the customer may call it.

        Raises ``unknown_service`` otherwise, also when the service exists
        for other customers, so that the answer doesn't reveal it.
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
        """Return the request with the settings of its service and customer."""
        self._check_capacity(bool(options.generation or options.key))
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
        customer_spec = self._find_customer(customer)
        start_ms = self.settings.start_within_ms
        finish_by = deadlines.NO_DEADLINE
        if options.timeout_ms:
            start_ms = min(start_ms, options.timeout_ms)
            finish_by = deadlines.make_deadline(options.timeout_ms)
        repeatable = options.repeatable
        if repeatable is None:
            repeatable = spec.get("repeatable", repeatable_by_default)
        if options.key:
            repeatable = False
        return call_requests.CallRequest(
            self.make_request_identifier(),
            service,
            customer,
            customer_spec.get("weight", 1.0),
            customer_spec.get("max_concurrent", 0),
            customer_spec.get(
                "priority", spec.get("priority", _DEFAULT_PRIORITY)
            ),
            repeatable,
            request,
            deadlines.make_deadline(start_ms),
            finish_by,
            options.generation,
            spec.get("retry_share", retry_budgets.DEFAULT_RETRY_SHARE),
        )

    def make_request_identifier(self) -> str:
        """Return an identifier for one caller's request."""
        return f"{self._incarnation}-{next(self._request_numbers)}"

    def _check_capacity(self, may_have_run: bool) -> None:
        """Raise an error if the entry is leaving or has too many calls.

        A call with a generation identifier or an idempotency key may have
        been started through another entry, so its outcome is unknown here.
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
