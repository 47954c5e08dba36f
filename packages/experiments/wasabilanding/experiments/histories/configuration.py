"""History of the configuration in force on each node, and its checker.

Explanation
===========

The checker looks for four kinds of violation:

``fell``
    the revision in force on a ready node is lower than an earlier one on
    this node, in the same or an earlier incarnation;
``late``
    a revision was accepted, and a node that was ready and reachable
    throughout the bound after it still has a lower one;
``forked``
    one revision has different contents in two samples;
``lost``
    an accepted change is missing from the same or a later revision.
"""

import bisect
import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Sample:
    """Configuration in force on a node at one time.

    :param time: time since the start of the run, in seconds.
    :param node: name of the node.
    :param incarnation: incarnation of the node.
    :param revision: revision in force.
    :param changes: identifiers of the accepted changes that it contains.
    :param ready: whether the node takes requests.
    :param reachable: whether the node can receive changes, from the store or
        through peers.
    """

    time: float
    node: str
    incarnation: int
    revision: int
    changes: frozenset[str]
    ready: bool
    reachable: bool


@dataclasses.dataclass(frozen=True)
class AcceptedChange:
    """A change whose acceptance was reported to an operator.

    :param time: time of the report since the start of the run, in seconds.
    :param revision: revision that the change created.
    :param change: identifier of the change.
    """

    time: float
    revision: int
    change: str


@dataclasses.dataclass(frozen=True)
class History:
    """Records of a run.

    :param samples: samples of all nodes in the order of time.
    :param accepted: accepted changes in the order of time.
    """

    samples: tuple[Sample, ...]
    accepted: tuple[AcceptedChange, ...]


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violation of a property of histories.

    :param kind: one of fell, late, forked and lost.
    :param detail: explanation with the values.
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


def _reverted(
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
    accepted: collections.abc.Iterable[AcceptedChange],
    bound_s: float,
) -> collections.abc.Iterator[Violation]:
    times = [sample.time for sample in samples]
    for change in accepted:
        first = bisect.bisect_left(times, change.time)
        last = bisect.bisect_left(times, change.time + bound_s)
        window = samples[first : last + 1]
        if last >= len(samples) or not _is_stable(window):
            continue
        if window[-1].revision < change.revision:
            yield Violation("late", f"{window[-1]} after {change}")


def delays(history: History, bound_s: float) -> list[float]:
    """Return the delay of each accepted change on each stable node.

    :param history: the history.
    :param bound_s: time after the acceptance in seconds, throughout which a
        stable node is ready and reachable in one incarnation.
    :returns: delay in seconds for each pair of a change and a stable node;
        infinite if the change was not in force within the bound.
    """
    found = []
    for samples in _by_node(history.samples).values():
        times = [sample.time for sample in samples]
        for change in history.accepted:
            first = bisect.bisect_left(times, change.time)
            last = bisect.bisect_left(times, change.time + bound_s)
            window = samples[first : last + 1]
            if last < len(samples) and _is_stable(window):
                found.append(_delay(window, change))
    return found


def _delay(window: list[Sample], change: AcceptedChange) -> float:
    for sample in window:
        if sample.revision >= change.revision:
            return sample.time - change.time
    return float("inf")


def _is_stable(window: list[Sample]) -> bool:
    incarnations = {sample.incarnation for sample in window}
    return len(incarnations) == 1 and all(
        s.ready and s.reachable for s in window
    )


def _conflicting(
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
    :param bound_s: longest time from the acceptance of a change until it is
        in force on every reachable node, in seconds.
    """
    found: list[Violation] = []
    for samples in _by_node(history.samples).values():
        found += _reverted(samples)
        found += _late(samples, history.accepted, bound_s)
    found += _conflicting(history.samples)
    found += _lost(history)
    return tuple(found)
