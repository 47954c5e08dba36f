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
import hashlib


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

    def score(name: str) -> bytes:
        return hashlib.blake2b(f"{name}/{key}".encode()).digest()

    return tuple(sorted(names, key=score, reverse=True)[:count])


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
