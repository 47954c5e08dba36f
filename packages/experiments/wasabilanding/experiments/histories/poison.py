"""Checks the bound on endpoint deaths for one request."""

import collections
import collections.abc
import dataclasses

MAX_CRASHES = 3


@dataclasses.dataclass(frozen=True)
class Crash:
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


def crash_bound_violations(
    crashes: collections.abc.Iterable[Crash],
) -> list[str]:
    """Return where one request killed too many endpoints.

    :param crashes: all deaths by poisonous requests.
    """
    counts = collections.Counter(
        (crash.failure_domain, crash.prompt) for crash in crashes
    )
    return [
        f"{prompt!r} killed {count} endpoints of {domain}; at most "
        f"{MAX_CRASHES} are allowed"
        for (domain, prompt), count in sorted(counts.items())
        if count > MAX_CRASHES
    ]
