"""History of the configuration in force, and its checker.

Explanation
===========

The checker looks for four kinds of violation:

``fell``
    a revision in force on a node that is ready is lower than one that was
    in force on it before, in the same life or in an earlier one;
``late``
    a revision was accepted, and a node that was ready and reachable for the
    whole bound after it still has a lower one;
``forked``
    one revision stands for two contents;
``lost``
    an accepted change is missing from a later revision.
"""

import bisect
import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a node had in force at one time.

    :param time: time of the run in seconds.
    :param node: name of the node.
    :param incarnation: life of the node.
    :param revision: revision in force.
    :param changes: marks of the accepted changes that it contains.
    :param ready: whether the node takes requests.
    :param reachable: whether the node can hear of changes, from the store
        or through peers.
    """

    time: float
    node: str
    incarnation: int
    revision: int
    changes: frozenset[str]
    ready: bool
    reachable: bool


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A change that an operator was told is accepted.

    :param time: time of the run at which it was told, in seconds.
    :param revision: revision that it made.
    :param change: mark of the change.
    """

    time: float
    revision: int
    change: str


@dataclasses.dataclass(frozen=True)
class History:
    """Everything that a run recorded.

    :param samples: samples of all nodes by time.
    :param accepted: accepted changes by time.
    """

    samples: tuple[Sample, ...]
    accepted: tuple[Accepted, ...]


@dataclasses.dataclass(frozen=True)
class Violation:
    """One breach of what a history must satisfy.

    :param kind: one of fell, late, forked and lost.
    :param detail: explanation for people.
    """

    kind: str
    detail: str


def _by_node(
    samples: collections.abc.Iterable[Sample],
) -> dict[str, list[Sample]]:
    grouped: dict[str, list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        grouped[sample.node].append(sample)
    return grouped


def _fallen(
    samples: list[Sample],
) -> collections.abc.Iterator[Violation]:
    highest = samples[0]
    for sample in samples:
        if not sample.ready:
            continue
        if sample.revision < highest.revision:
            yield Violation("fell", f"{sample} after {highest}")
            return
        highest = sample


def _late(
    samples: list[Sample],
    accepted: collections.abc.Iterable[Accepted],
    bound_s: float,
) -> collections.abc.Iterator[Violation]:
    times = [sample.time for sample in samples]
    for change in accepted:
        first = bisect.bisect_left(times, change.time)
        last = bisect.bisect_left(times, change.time + bound_s)
        window = samples[first : last + 1]
        if last >= len(samples) or not _is_steady(window):
            continue
        if window[-1].revision < change.revision:
            yield Violation("late", f"{window[-1]} after {change}")


def delays(history: History, bound_s: float) -> list[float]:
    """Return how long accepted changes took to each steady node.

    :param history: the history.
    :param bound_s: time for which a node must be ready and reachable after
        the acceptance to count, in seconds.
    :returns: seconds for each pair of a change and a node; infinite when
        the change was not in force within the bound.
    """
    found = []
    for samples in _by_node(history.samples).values():
        times = [sample.time for sample in samples]
        for change in history.accepted:
            first = bisect.bisect_left(times, change.time)
            last = bisect.bisect_left(times, change.time + bound_s)
            window = samples[first : last + 1]
            if last < len(samples) and _is_steady(window):
                found.append(_delay(window, change))
    return found


def _delay(window: list[Sample], change: Accepted) -> float:
    for sample in window:
        if sample.revision >= change.revision:
            return sample.time - change.time
    return float("inf")


def _is_steady(window: list[Sample]) -> bool:
    lives = {sample.incarnation for sample in window}
    return len(lives) == 1 and all(s.ready and s.reachable for s in window)


def _forked(
    samples: collections.abc.Iterable[Sample],
) -> collections.abc.Iterator[Violation]:
    contents: dict[int, Sample] = {}
    for sample in samples:
        first = contents.setdefault(sample.revision, sample)
        if first.changes != sample.changes:
            yield Violation("forked", f"{sample} and {first}")
            return


def _lost(
    history: History,
) -> collections.abc.Iterator[Violation]:
    contents = {s.revision: s for s in history.samples}
    for change in history.accepted:
        for revision, sample in contents.items():
            if revision < change.revision:
                continue
            if change.change not in sample.changes:
                yield Violation("lost", f"{change} in {sample}")
                break


def check(history: History, bound_s: float) -> tuple[Violation, ...]:
    """Return the violations in a history.

    :param history: the history.
    :param bound_s: time from the acceptance of a change to its being in
        force on every reachable node, in seconds.
    """
    found: list[Violation] = []
    for samples in _by_node(history.samples).values():
        found += _fallen(samples)
        found += _late(samples, history.accepted, bound_s)
    found += _forked(history.samples)
    found += _lost(history)
    return tuple(found)
