"""Which quarantines are to be recorded where they outlive all nodes.

Explanation
===========

Load pattern: a request ends endpoints and comes again while the nodes, which
keep nothing, are replaced; at last nobody is left who knows of it. So each
quarantine is recorded in the platform's store: a request or a part of prompts,
with the crashes that show why. Any node may write a record, and does so after
a time that differs from node to node, so that one write is the rule:

========================================  =================================
node                                      time after which it writes
========================================  =================================
has found one of the crashes              none
the first in the order for the subject    :data:`OTHERS_DELAY_S`
each further one                          :data:`RANK_DELAY_S` more
========================================  =================================

A node that did not succeed tries again after some time. A record is removed in
the same way once one of its crashes is withdrawn or an answer clears it.
Records end with their quarantines; one that ends soon is not written any more.
Nothing is to be done on a day without quarantines.
"""

import collections.abc
import dataclasses
import enum

from wasabilanding.poison import suspicions as suspicions_module

# The record of a finder is seen by the other nodes within this time.
OTHERS_DELAY_S = 2.0
RANK_DELAY_S = 0.5
MAX_RANK = 60
# Interval between the tries of one node for one subject.
RETRY_INTERVAL_S = 10.0
# A quarantine that ends within this time is not recorded any more.
MIN_REMAINING_S = 30.0
# Records in the store at most; further quarantines are kept by nodes only.
MAX_RECORDS = 128


@dataclasses.dataclass(frozen=True)
class Subject:
    """What is quarantined.

    :param feature: whether it is a request or a part of prompts.
    :param fingerprint: fingerprint of the request, or the part.
    """

    feature: suspicions_module.Feature
    fingerprint: str


def subject_of(notice: suspicions_module.Notice) -> Subject:
    """Return what a notice is about.

    :param notice: the notice.
    """
    return Subject(notice.feature, notice.fingerprint)


Crashes = collections.abc.Sequence[suspicions_module.Notice]
CrashesBySubject = collections.abc.Mapping[Subject, Crashes]


class RecordAction(enum.Enum):
    """What is to be done about a record."""

    CREATE = "create"
    REPLACE = "replace"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True)
class RecordChange:
    """A change of the records.

    :param action: what is to be done.
    :param subject: what the record is about.
    :param crashes: the crashes to record; empty for a removal.
    """

    action: RecordAction
    subject: Subject
    crashes: Crashes = ()


def record_changes(
    quarantined: CrashesBySubject,
    recorded: CrashesBySubject,
    is_refuted: collections.abc.Callable[[suspicions_module.Notice], bool],
    now: float,
) -> list[RecordChange]:
    """Return how the records differ from what a node knows.

    :param quarantined: what is quarantined at this node, with the crashes that
        show why, oldest first.
    :param recorded: the records, with their crashes.
    :param is_refuted: returns whether this node knows that a crash does not
        count.
    :param now: local monotonic time in seconds.
    """
    changes = [
        RecordChange(RecordAction.REMOVE, subject)
        for subject, crashes in recorded.items()
        if any(map(is_refuted, crashes))
    ]
    removed = {change.subject for change in changes}
    left = MAX_RECORDS - len(recorded)
    for subject, crashes in quarantined.items():
        ends_at = crashes[-1].at + suspicions_module.NOTICE_RETENTION_S
        if subject in removed or ends_at - now < MIN_REMAINING_S:
            continue
        if subject not in recorded:
            if left > 0:
                left -= 1
                action = RecordAction.CREATE
                changes.append(RecordChange(action, subject, crashes))
        elif _has_later_crash(crashes, recorded[subject]):
            action = RecordAction.REPLACE
            changes.append(RecordChange(action, subject, crashes))
    return changes


def _has_later_crash(crashes: Crashes, recorded: Crashes) -> bool:
    """Return whether the latest crash is not recorded."""
    latest = crashes[-1].identity
    return all(crash.identity != latest for crash in recorded)


class RecordSchedule:
    """When a node changes records."""

    def __init__(self) -> None:
        # Local monotonic times in seconds.
        self._due_at: dict[tuple[RecordAction, Subject], float] = {}

    def due(
        self,
        changes: collections.abc.Iterable[RecordChange],
        delay_s: collections.abc.Callable[[Subject], float],
        now: float,
    ) -> list[RecordChange]:
        """Return the changes that are due; each is due again after a time.

        :param changes: the changes that are to be made.
        :param delay_s: returns how long this node waits for others to make a
            change, in seconds.
        :param now: local monotonic time in seconds.
        """
        due = []
        due_at = {}
        for change in changes:
            key = (change.action, change.subject)
            at = self._due_at.get(key, now + delay_s(change.subject))
            if now >= at:
                due.append(change)
                at = now + RETRY_INTERVAL_S
            due_at[key] = at
        self._due_at = due_at
        return due


def record_delay_s(is_finder: bool, rank: int) -> float:
    """Return how long a node waits for others to change a record.

    :param is_finder: whether it has found one of the crashes, or what refutes
        them.
    :param rank: its place in the order of all nodes for the subject, 0 first.

    Examples
    ========

    >>> from wasabilanding import poison
    >>> poison.record_delay_s(True, 4), poison.record_delay_s(False, 4)
    (0.0, 4.0)
    """
    if is_finder:
        return 0.0
    return OTHERS_DELAY_S + RANK_DELAY_S * min(rank, MAX_RANK)
