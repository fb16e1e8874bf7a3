"""What operators state: routes, services, client accounts and their keys."""

import msgspec

__all__ = [
    "AccountSpec",
    "JobConfiguration",
    "Limits",
    "Route",
    "ServiceSpec",
    "configuration_problem",
]


class Route(msgspec.Struct, frozen=True):
    """A class of work: where its calls arrive and which upstreams serve it.

    ``priority`` 0 comes first.  A job meets its objective if it completes
    within ``stretch`` times its longest chain of work and ``target_ms`` more.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    target_ms: float = 0
    priority: int = 0
    attempts: int = 3
    stretch: float = 3.0
    open_access: bool = False


class ServiceSpec(msgspec.Struct, frozen=True):
    """A pool of upstreams; ``guards``: they refuse what is too big."""

    name: str
    guards: bool = False


class AccountSpec(msgspec.Struct, frozen=True):
    """A client account with its keys and guaranteed accelerators."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed: int = 0


class Limits(msgspec.Struct, frozen=True):
    """Bounds of calls, in bytes."""

    body_bytes: int = 262_144


class JobConfiguration(msgspec.Struct, frozen=True):
    """Everything that an operator states, and the text that stated it."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    accounts: tuple[AccountSpec, ...] = ()
    limits: Limits = Limits()
    text: bytes = b""


def configuration_problem(configuration: JobConfiguration) -> str:
    """Return why a configuration is invalid, or an empty string."""
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        if route.service not in services:
            return f"route {route.name!r} names unknown service {route.service!r}"
        if route.timeout_ms <= 0:
            return f"route {route.name!r} has a timeout of 0"
        place = (route.host, route.prefix)
        if place in places:
            return f"two routes share host and prefix {place!r}"
        places.add(place)
    return _shared_key(configuration)


def _shared_key(configuration: JobConfiguration) -> str:
    owner_by_key: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            if owner_by_key.setdefault(key, account.name) != account.name:
                owner = owner_by_key[key]
                return f"accounts {owner!r} and {account.name!r} share a key"
    return ""
