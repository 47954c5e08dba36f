"""Checks the bound on the endpoints that one request crashes."""

import collections
import collections.abc
import dataclasses

MAX_CRASHES = 3


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash of a VM while it ran a poisonous request.

    :param failure_domain: failure domain of the VM.
    :param prompt: text of the request.
    :param vm: identity of the VM.
    :param at: time of the crash in seconds.
    """

    failure_domain: str
    prompt: str
    vm: str
    at: float


def crash_bound_violations(
    crashes: collections.abc.Iterable[Crash],
) -> list[str]:
    """Return the violations of the bound on crashes by one request.

    :param crashes: all crashes that poisonous requests caused.
    """
    counts = collections.Counter(
        (crash.failure_domain, crash.prompt) for crash in crashes
    )
    return [
        f"{prompt!r} crashed {count} endpoints of {domain}; at most "
        f"{MAX_CRASHES} are allowed"
        for (domain, prompt), count in sorted(counts.items())
        if count > MAX_CRASHES
    ]
