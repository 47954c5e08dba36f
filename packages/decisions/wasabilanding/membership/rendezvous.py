"""Shares of work by rendezvous hashing.

Explanation
===========

Every live node scores each key with the names that it knows and arrives at
the same owners [1]_. When a node goes, only its own share moves.

References
==========

.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc
import functools
import hashlib


def _score(name: str, key: str) -> bytes:
    return hashlib.blake2b(f"{name}/{key}".encode()).digest()


def owners_of(
    key: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the nodes that a key falls to, the first choice first.

    :param key: the key.
    :param names: names of the live nodes.
    :param count: how many owners are wanted.

    Examples
    ========

    >>> from wasabilanding import membership
    >>> owners = membership.owners_of("store", ["a", "b", "c"], 2)
    >>> again = membership.owners_of("store", ["c", "b", "a"], 2)
    >>> len(owners), again == owners
    (2, True)
    """
    ranked = sorted(names, key=lambda name: _score(name, key), reverse=True)
    return tuple(ranked[:count])


def owner_of(key: str, names: collections.abc.Iterable[str]) -> str | None:
    """Return the node that a key falls to.

    :param key: the key.
    :param names: names of the live nodes.
    :returns: the owner, or None when there is no node.

    Examples
    ========

    >>> from wasabilanding import membership
    >>> membership.owner_of("vm-1", ["a", "b"]) in ("a", "b")
    True
    """
    owners = owners_of(key, names, 1)
    return owners[0] if owners else None


@functools.lru_cache(maxsize=4)
def own_keys(
    own: str, names: tuple[str, ...], keys: tuple[str, ...]
) -> frozenset[str]:
    """Return the keys that fall to one node.

    A key is given up at the first node with a higher score, so this takes
    far fewer hashes than finding the owner of each key.

    :param own: name of the node.
    :param names: names of the live nodes.
    :param keys: the keys.

    Examples
    ========

    >>> from wasabilanding import membership
    >>> names, keys = ("a", "b", "c"), ("vm-1", "vm-2", "vm-3", "vm-4")
    >>> own = membership.own_keys("a", names, keys)
    >>> own == {k for k in keys if membership.owner_of(k, names) == "a"}
    True
    """
    return frozenset(
        key for key in keys if _is_highest(own, _score(own, key), names, key)
    )


def _is_highest(
    own: str, score: bytes, names: tuple[str, ...], key: str
) -> bool:
    return all(name == own or _score(name, key) <= score for name in names)
