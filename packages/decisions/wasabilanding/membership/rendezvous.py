"""Assignment of keys to nodes by rendezvous hashing.

Explanation
===========

Each node computes the score of every pair of a live node and a key. The nodes
with the highest scores own the key, so all nodes that know the same members
find the same owners [1]_. When a node leaves, only its own keys move.

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
    """Return the nodes that own a key, highest score first.

    :param key: the key.
    :param names: names of the live nodes.
    :param count: greatest number of owners.

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
    """Return the node that owns a key.

    :param key: the key.
    :param names: names of the live nodes.
    :returns: the owner, or None if there is no live node.

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
    """Return the keys that one node owns.

    The check of a key stops at the first node with a higher score, so this
    takes far fewer hashes than finding the owner of each key.

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
