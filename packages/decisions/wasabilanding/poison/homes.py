"""Home replicas, to which requests are restricted in a failure domain."""

import collections.abc
import hashlib

HOMES_PER_REQUEST = 3
PREFIX_HOMES = 2
# Longer than it takes to detect a crash and to notify all nodes.
HOME_RETENTION_S = 10.0


def _score(seed: str, name: str) -> bytes:
    return hashlib.blake2b(f"{seed}/{name}".encode(), digest_size=8).digest()


def _ranked(seed: str, names: collections.abc.Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: _score(seed, name), reverse=True)


def home_names(
    prefix: str, fingerprint: str, names: collections.abc.Collection[str]
) -> tuple[str, ...]:
    """Return the homes of a request, the one chosen by its text first.

    :param prefix: identity of the beginning of its prompt.
    :param fingerprint: fingerprint of the request.
    :param names: names of the candidate replicas of one failure domain.

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


def trial_order(
    fingerprint: str, names: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the order in which a suspected request tries endpoints.

    All nodes find the same order, so that copies that arrive at several nodes
    end one endpoint, not several.

    :param fingerprint: fingerprint of the request.
    :param names: names of the endpoints.

    Examples
    ========

    >>> from wasabilanding import poison
    >>> order = poison.trial_order("a", ["e1", "e2", "e3"])
    >>> order == poison.trial_order("a", ["e3", "e1", "e2"])
    True
    """
    return tuple(_ranked(fingerprint, sorted(names)))


def trial_names(
    homes: collections.abc.Iterable[str],
    crashed: collections.abc.Container[str],
    usable: collections.abc.Container[str],
) -> tuple[str, ...]:
    """Return the home on which a suspected request may run, if any.

    :param homes: homes of the request.
    :param crashed: replicas that crashed while they ran it.
    :param usable: replicas that are currently usable.
    :returns: one name, or none.
    """
    left = [name for name in homes if name not in crashed and name in usable]
    return tuple(left[:1])


class HomeCandidates:
    """Replicas that are candidates for homes.

    A crashed replica remains a candidate until all nodes have been notified,
    and a new replica becomes one after the same time. Otherwise a request
    could move from a crashed home to its replacement before the notice of the
    crash arrives. If there are too few other candidates, new replicas are
    candidates immediately.

    :param retention_s: time for which a crashed replica remains and a new one
        is excluded, in seconds.
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
        """Record the replicas that are currently usable.

        :param usable: names of these replicas.
        :param now: local monotonic time in seconds.
        """
        self._now = now
        # Replicas in the first update do not replace crashed ones.
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
        """Whether other nodes may know of more replicas than this one."""
        return self._now - self._started_at < self._retention_s

    @property
    def all_names(self) -> collections.abc.Set[str]:
        """Names of all known replicas, including excluded new ones."""
        return self._first_at.keys()

    @property
    def names(self) -> collections.abc.Collection[str]:
        """Names of the candidates."""
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
