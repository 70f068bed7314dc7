"""Creates the admission policy that the settings name."""

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import baseline_policies
from gentianpoint_agent import predictive_policy
from gentianpoint_agent.generated import settings as agent_settings

__all__ = ("make_admission_policy",)


def make_admission_policy(
    settings: agent_settings.AgentSettings,
    service: applied_service.AppliedService,
) -> admission_policy.AdmissionPolicy:
    """Return the policy that the settings name.

    A target of the kind ``plain`` generates no tokens and reports no load,
    so only the limits of its service resource apply.
    """
    if settings.target_kind == "plain":
        return baseline_policies.UnlimitedPolicy()
    match settings.admission:
        case "none":
            return baseline_policies.UnlimitedPolicy()
        case "fixed":
            return baseline_policies.FixedPolicy(settings.fixed_concurrency)
        case "reserve_maximum":
            return baseline_policies.ReserveMaximumPolicy()
        case "reserve_mean":
            return baseline_policies.ReserveMeanPolicy()
        case _:
            return predictive_policy.PredictivePolicy(service)
