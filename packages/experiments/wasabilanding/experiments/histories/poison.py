"""Checks the bound on endpoint deaths for one request."""

import collections
import collections.abc
import dataclasses

MAX_DEATHS = 3


@dataclasses.dataclass(frozen=True)
class Death:
    """The death of a VM while it ran a poisonous request.

    :param failure_domain: failure domain of the VM.
    :param prompt: text of the request.
    :param vm: the VM.
    :param at: time in seconds.
    """

    failure_domain: str
    prompt: str
    vm: str
    at: float


def broken_bounds(deaths: collections.abc.Iterable[Death]) -> list[str]:
    """Return where one request killed too many endpoints.

    :param deaths: all deaths by poisonous requests.
    """
    counts = collections.Counter(
        (death.failure_domain, death.prompt) for death in deaths
    )
    return [
        f"{prompt!r} killed {count} endpoints of {domain}; at most "
        f"{MAX_DEATHS} are allowed"
        for (domain, prompt), count in sorted(counts.items())
        if count > MAX_DEATHS
    ]
