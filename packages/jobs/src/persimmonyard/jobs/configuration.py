"""Operator configuration: routes, services, client accounts and their keys."""

import math

import msgspec

from persimmonyard.model import Resources

__all__ = [
    "AccountSpec",
    "JobConfiguration",
    "Limits",
    "Route",
    "ServiceSpec",
    "configuration_problem",
]


class Route(msgspec.Struct, frozen=True):
    """A work class: the host and path prefix of its calls, and its service.

    ``priority`` 0 is the highest.  A job meets its objective if it completes
    within ``stretch`` times its critical path plus ``target_ms``.  It fails
    once ``attempts`` runs of a unit have failed, unless the step is
    long-running.
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
    """A pool of upstreams.

    With ``guards`` its upstreams check admission: they refuse work that is too
    large.
    """

    name: str
    guards: bool = False


class AccountSpec(msgspec.Struct, frozen=True):
    """A client account, its API keys and its guaranteed accelerators.

    ``limit`` is what it may have running at once; a resource with 0 has no
    limit.  ``weight`` is its share of the capacity in proportion to the other
    accounts, and its entitled jobs per second; 0 stands for none.
    """

    name: str
    keys: tuple[str, ...] = ()
    guaranteed: int = 0
    limit: Resources = Resources(0, 0, 0)
    weight: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """Size limits of calls, in bytes."""

    body_bytes: int = 262_144


class JobConfiguration(msgspec.Struct, frozen=True):
    """The whole configuration; ``text`` is the document it was read from."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    accounts: tuple[AccountSpec, ...] = ()
    limits: Limits = Limits()
    text: bytes = b""


def configuration_problem(configuration: JobConfiguration) -> str:
    """Return why a configuration is invalid, or "" if it is valid."""
    services = {service.name for service in configuration.services}
    seen_prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        if route.service not in services:
            return f"route {route.name!r} names unknown service {route.service!r}"
        if route.timeout_ms <= 0:
            return f"route {route.name!r} has a timeout of 0"
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in seen_prefixes:
            return f"two routes share host and prefix {host_and_prefix!r}"
        seen_prefixes.add(host_and_prefix)
    return _shared_key_problem(configuration) or _account_problem(configuration)


def _account_problem(configuration: JobConfiguration) -> str:
    spec_by_name: dict[str, AccountSpec] = {}
    for account in configuration.accounts:
        if min(account.limit) < 0:
            return f"account {account.name!r} has a negative limit"
        if not math.isfinite(account.weight) or account.weight < 0:
            return f"account {account.name!r} has the weight {account.weight}"
        first = spec_by_name.setdefault(account.name, account)
        if (first.limit, first.weight) != (account.limit, account.weight):
            return f"account {account.name!r} has two limits or weights"
    return ""


def _shared_key_problem(configuration: JobConfiguration) -> str:
    owner_by_key: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            if owner_by_key.setdefault(key, account.name) != account.name:
                owner = owner_by_key[key]
                return f"accounts {owner!r} and {account.name!r} share a key"
    return ""
