"""Builders of calls, loads and services for the agent's features."""

import typing

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import baseline_policies
from gentianpoint_agent import generation_table
from gentianpoint_agent import generations
from gentianpoint_agent import predictive_policy
from gentianpoint_core import deadlines
from gentianpoint_core import ports

SERVICE: typing.Final = "modelo-taller"
"""Name of the service, and of the model that its engine has loaded."""
PEER_KEY: typing.Final = "key-of-peers"
"""Key that signs identifiers."""


def make_profile(
    customer: str = "one", **more: typing.Any
) -> admission_policy.CallProfile:
    """Return the profile of a call without limits or deadline."""
    defaults = admission_policy.CallProfile(
        customer, 1.0, 0, 5, "a prompt", 0, deadlines.NO_DEADLINE
    )
    return defaults._replace(**more)


def make_load(**more: typing.Any) -> ports.EngineLoad:
    """Return the load report of an idle engine with 100 blocks."""
    defaults = ports.EngineLoad(
        boot="b1",
        age_ms=0,
        blocks=100,
        blocks_used=0,
        block_tokens=16,
        running=0,
        waiting=0,
        preemptions=0,
        redone_tokens=0,
        model=SERVICE,
        adapter="",
        version="1",
        role="serve",
        loading=False,
        reclaim_in_ms=None,
    )
    return defaults._replace(**more)


def make_service(**more: typing.Any) -> applied_service.AppliedService:
    """Return a service whose specification is in force."""
    service = applied_service.AppliedService(SERVICE)
    service.spec = {"kind": "model", "customers": ["*"], **more}
    return service


def make_fixed_control(
    limit: int, **spec: typing.Any
) -> admission.AdmissionControl:
    """Return an admission control that lets ``limit`` calls run at once."""
    return admission.AdmissionControl(
        baseline_policies.FixedPolicy(limit), make_service(**spec)
    )


def make_predictive_control(
    **spec: typing.Any,
) -> admission.AdmissionControl:
    """Return an admission control with the predictive policy."""
    service = make_service(**spec)
    return admission.AdmissionControl(
        predictive_policy.PredictivePolicy(service), service
    )


def make_table(retain_bytes: int) -> generation_table.GenerationTable:
    """Return an empty table that keeps ended generations for a minute."""
    return generation_table.GenerationTable(
        "target-1", 60_000, retain_bytes, PEER_KEY
    )


def make_end(reason: str) -> generations.GenerationEnd:
    """Return an end with the given reason."""
    return generations.GenerationEnd(reason)
