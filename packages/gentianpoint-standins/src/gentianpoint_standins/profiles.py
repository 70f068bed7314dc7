"""Sizes of the local deployments that ``make up`` can start."""

from collections import abc
import enum
import typing

__all__ = (
    "DEMO",
    "PROFILES",
    "CustomerProfile",
    "Profile",
    "ProfileName",
    "ServiceProfile",
    "TargetProfile",
)

Spec: typing.TypeAlias = abc.Mapping[str, typing.Any]
"""Specification of a resource, as in schema/resources.json."""


class ProfileName(enum.StrEnum):
    """Names of the profiles."""

    TALLER = "taller"
    """Workshops: two services in three data centres."""
    GUIA = "guia"
    """Travellers: two services in four data centres."""


class TargetProfile(typing.NamedTuple):
    """A target, and the agent beside it on the same host."""

    host: str
    """Name of the host, and of the target."""
    data_centre: str
    """Data centre of the host."""


class ServiceProfile(typing.NamedTuple):
    """A service and its targets."""

    name: str
    """Name of the service."""
    spec: Spec
    """Specification that is declared."""
    targets: tuple[TargetProfile, ...]
    """Its targets."""
    options: abc.Mapping[str, typing.Union[str, int, float, bool]]
    """Options of the stand-ins behind it."""


class CustomerProfile(typing.NamedTuple):
    """A customer."""

    name: str
    """Name of the customer."""
    weight: float
    """Share in fair queues."""


class Profile(typing.NamedTuple):
    """A deployment."""

    entries: tuple[TargetProfile, ...]
    """Hosts of the entries."""
    services: tuple[ServiceProfile, ...]
    """Services behind them."""
    customers: tuple[CustomerProfile, ...]
    """Customers that the services answer."""


def _spread_hosts(
    prefix: str, count: int, data_centres: abc.Sequence[str]
) -> tuple[TargetProfile, ...]:
    """Return hosts that take the data centres in turn."""
    return tuple(
        TargetProfile(
            f"{prefix}-{number + 1}", data_centres[number % len(data_centres)]
        )
        for number in range(count)
    )


def _weigh_customers(
    names: abc.Sequence[str], large: int
) -> tuple[CustomerProfile, ...]:
    """Return customers of whom the first few are large."""
    return tuple(
        CustomerProfile(name, 4.0 if number < large else 1.0)
        for number, name in enumerate(names)
    )


_ZONES: typing.Final = ("zona-norte", "zona-sur", "zona-oeste")
_LISBOA: typing.Final = ("alcantara", "oriente", "carnaxide", "sacavem")

_TALLER: typing.Final = Profile(
    entries=_spread_hosts("entrada", 3, _ZONES),
    services=(
        ServiceProfile(
            "modelo-taller",
            {
                "kind": "model",
                "customers": ["*"],
                "model": "modelo-taller",
                "version": "1",
                "objective": "fewest_preemptions",
                "repeatable": False,
                "max_tokens": 8192,
            },
            _spread_hosts("taller", 5, _ZONES),
            {"model": "modelo-taller", "version": "1"},
        ),
        ServiceProfile(
            "app-banco",
            {"kind": "plain", "customers": ["*"], "repeatable": True},
            _spread_hosts("banco", 3, _ZONES),
            {},
        ),
    ),
    customers=_weigh_customers(
        (
            "motores-xela",
            "ingenio-sur",
            "cementos-norte",
            "bombas-peten",
            "textiles-mixco",
            "hielo-escuintla",
            "molino-jalapa",
            "aserradero-coban",
            "lavanderia-antigua",
            "panaderia-solola",
        ),
        3,
    ),
)

_GUIA: typing.Final = Profile(
    entries=_spread_hosts("entrada", 3, _LISBOA),
    services=(
        ServiceProfile(
            "guia-lm",
            {
                "kind": "model",
                "customers": ["*"],
                "model": "guia-lm",
                "version": "1",
                "objective": "steady_pace",
                "repeatable": True,
                "max_tokens": 8192,
            },
            _spread_hosts("guia", 5, _LISBOA),
            {"model": "guia-lm", "version": "1"},
        ),
        ServiceProfile(
            "livro-app",
            {"kind": "plain", "customers": ["*"], "repeatable": True},
            _spread_hosts("livro", 4, _LISBOA),
            {},
        ),
    ),
    customers=_weigh_customers(
        (
            "operador-grande",
            "hoteis-ribeira",
            "cruzeiros-tejo",
            "museu-azulejo",
            "comboios-douro",
            "farmacia-faro",
            "bilheteira-porto",
            "pousada-sintra",
            "eletrico-28",
            "surf-ericeira",
        ),
        3,
    ),
)

DEMO: typing.Final = Profile(
    entries=_spread_hosts("entrada", 1, _ZONES),
    services=(
        _TALLER.services[0]._replace(
            targets=_spread_hosts("taller", 2, _ZONES)
        ),
        _TALLER.services[1]._replace(
            targets=_spread_hosts("banco", 1, _ZONES)
        ),
    ),
    customers=_TALLER.customers[:1],
)
"""Deployment of ``make demo``."""

PROFILES: typing.Final[abc.Mapping[ProfileName, Profile]] = {
    ProfileName.TALLER: _TALLER,
    ProfileName.GUIA: _GUIA,
}
"""Profiles by name."""
