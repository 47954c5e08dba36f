"""The few replicas of a failure domain that one request may reach."""

import collections.abc
import hashlib

HOMES_PER_REQUEST = 3
PREFIX_HOMES = 2
# Longer than it takes to see a death and to tell all nodes of it.
HOME_RETENTION_S = 10.0


def _score(seed: str, name: str) -> bytes:
    return hashlib.blake2b(f"{seed}/{name}".encode(), digest_size=8).digest()


def _ranked(seed: str, names: collections.abc.Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: _score(seed, name), reverse=True)


def home_names(
    prefix: str, fingerprint: str, names: collections.abc.Collection[str]
) -> tuple[str, ...]:
    """Return the homes of a request, the one by its text first.

    :param prefix: stands for the beginning of its prompt.
    :param fingerprint: its fingerprint.
    :param names: replicas of one failure domain that serve it or did so a
        moment ago.

    Examples
    ========

    >>> from wasabilanding import poison
    >>> names = [f"vm-{index}" for index in range(8)]
    >>> one = poison.home_names("menu", "a", names)
    >>> other = poison.home_names("menu", "b", reversed(names))
    >>> len(one), len(set(one) & set(other)) >= 2
    (3, True)
    """
    listed = sorted(names)
    by_prefix = _ranked(prefix, listed)[:PREFIX_HOMES]
    others = [name for name in listed if name not in by_prefix]
    by_text = _ranked(fingerprint, others)[: HOMES_PER_REQUEST - PREFIX_HOMES]
    return (*by_text, *by_prefix)


def trial_names(
    homes: collections.abc.Iterable[str],
    crashed: collections.abc.Container[str],
    usable: collections.abc.Container[str],
) -> tuple[str, ...]:
    """Return the home at which a suspect may run, if there is one.

    :param homes: its homes.
    :param crashed: replicas that died while they ran it.
    :param usable: replicas that serve at this moment.
    """
    left = [name for name in homes if name not in crashed and name in usable]
    return tuple(left[:1])


class HomeCandidates:
    """Replicas that may be homes.

    One that died stays until all nodes have heard of it, and a new one
    waits as long: else a request could go on from a dead home to one that
    took its place before the notice of the death arrives. Where too few are
    left without them, new ones count at once.

    :param retention_s: how long a replica stays, or waits, in seconds.
    """

    def __init__(self, retention_s: float = HOME_RETENTION_S) -> None:
        self._retention_s = retention_s
        self._first_at: dict[str, float] = {}
        self._last_at: dict[str, float] = {}
        self._now = 0.0
        self._started_at = 0.0

    def update(
        self, usable: collections.abc.Iterable[str], now: float
    ) -> None:
        """Note the replicas that are usable.

        :param usable: their names.
        :param now: local monotonic time in seconds.
        """
        self._now = now
        # What a node sees first has not just taken another's place.
        first_at = now if self._last_at else now - self._retention_s
        if not self._last_at:
            self._started_at = now
        for name in usable:
            self._first_at.setdefault(name, first_at)
            self._last_at[name] = now
        gone = [
            name
            for name, at in self._last_at.items()
            if now - at > self._retention_s
        ]
        for name in gone:
            del self._first_at[name]
            del self._last_at[name]

    @property
    def is_warming_up(self) -> bool:
        """Whether other nodes may have seen more of the replicas so far."""
        return self._now - self._started_at < self._retention_s

    @property
    def all_names(self) -> collections.abc.Set[str]:
        """Names of all replicas that are kept, those that wait included."""
        return self._first_at.keys()

    @property
    def names(self) -> collections.abc.Collection[str]:
        """Names of the replicas that may be homes."""
        settled = [
            name
            for name, at in self._first_at.items()
            if self._now - at >= self._retention_s
        ]
        return (
            settled
            if len(settled) >= HOMES_PER_REQUEST
            else list(self._first_at)
        )
