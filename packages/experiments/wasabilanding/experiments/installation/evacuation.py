"""Evacuations of failure domains, as an operator writes them to the store."""

import collections.abc
import dataclasses
import time

import httpx

from wasabilanding.experiments.installation import launch
from wasabilanding.gateway import plain_wire

# No request may arrive later than this after the store's reply.
EVACUATION_BOUND_S = 5.0
# Longer than any run; the end of the lease takes the evacuation back.
LEASE_TTL_S = 3600.0
IN_FORCE = float("inf")


@dataclasses.dataclass
class Evacuation:
    """An evacuation that the store has confirmed.

    :param failure_domain: name of the failure domain.
    :param lease_id: lease whose end removes the key.
    :param confirmed_at: time of day in seconds of the store's reply.
    :param taken_back_at: time of day in seconds at which the removal was
        sent; infinite before.
    """

    failure_domain: str
    lease_id: str
    confirmed_at: float
    taken_back_at: float = IN_FORCE


def evacuate(platform_url: str, failure_domain: str) -> Evacuation:
    """Evacuate a failure domain.

    :param platform_url: URL of the platform's stand-in.
    :param failure_domain: name of the failure domain.
    :raises httpx.HTTPError: if the platform does not confirm it.
    """
    granted = httpx.post(
        f"{platform_url}/v1/leases", json={"ttl_s": LEASE_TTL_S}
    )
    lease_id = granted.raise_for_status().json()["lease_id"]
    key = f"{plain_wire.evacuation_prefix}{failure_domain}"
    body = {"values": {key: "{}"}, "lease_id": lease_id}
    written = httpx.post(f"{platform_url}/v1/writes", json=body)
    written.raise_for_status()
    return Evacuation(failure_domain, lease_id, time.time())


def take_back(platform_url: str, evacuation: Evacuation) -> None:
    """Take an evacuation back.

    :param platform_url: URL of the platform's stand-in.
    :param evacuation: the evacuation.
    :raises httpx.HTTPError: if the platform does not confirm it.
    """
    evacuation.taken_back_at = min(evacuation.taken_back_at, time.time())
    url = f"{platform_url}/v1/leases/{evacuation.lease_id}"
    httpx.delete(url).raise_for_status()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A caller's request that reached an endpoint.

    :param request_id: its identifier.
    :param endpoint_id: the endpoint.
    :param failure_domain: its failure domain.
    :param at: time of day in seconds.
    """

    request_id: str
    endpoint_id: str
    failure_domain: str
    at: float


def arrivals_at(
    installation: launch.Installation,
) -> tuple[Arrival, ...]:
    """Return the callers' requests that reached the endpoints so far.

    :param installation: running installation.
    """
    found = installation.arrivals()
    now = time.time()
    domains = {vm.endpoint_id: vm.failure_domain for vm in installation.vms}
    return tuple(
        Arrival(
            one["request_id"],
            one["endpoint"],
            domains[one["endpoint"]],
            now - one["age_s"],
        )
        for one in found
        if one["request_id"]
    )


def arrivals_during(
    evacuation: Evacuation,
    arrivals: collections.abc.Iterable[Arrival],
) -> list[Arrival]:
    """Return what reached a failure domain while it was evacuated, in order.

    :param evacuation: the evacuation.
    :param arrivals: callers' requests that reached endpoints.
    """
    found = [
        arrival
        for arrival in arrivals
        if arrival.failure_domain == evacuation.failure_domain
        and evacuation.confirmed_at < arrival.at < evacuation.taken_back_at
    ]
    return sorted(found, key=lambda arrival: arrival.at)


def find_violations(
    evacuations: collections.abc.Iterable[Evacuation],
    arrivals: collections.abc.Collection[Arrival],
) -> collections.abc.Iterator[str]:
    """Yield each request that reached an evacuated failure domain too late.

    :param evacuations: the evacuations.
    :param arrivals: callers' requests that reached endpoints.
    """
    for evacuation in evacuations:
        for arrival in arrivals_during(evacuation, arrivals):
            late_s = arrival.at - evacuation.confirmed_at
            if late_s > EVACUATION_BOUND_S:
                yield (
                    f"{arrival.request_id}: reached {arrival.endpoint_id} "
                    f"{late_s:.2f} s after the evacuation of "
                    f"{evacuation.failure_domain}"
                )
