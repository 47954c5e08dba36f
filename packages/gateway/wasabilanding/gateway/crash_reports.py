"""Reports of crashed endpoints that nodes send to each other.

Explanation
===========

Load pattern: one request ends endpoint after endpoint and comes again through
another node each time. So each node needs to know at once, in all failure
domains, and a node that has missed it, or has just started, soon. Datagrams
may be lost: a report is repeated for some seconds, and those on a request that
is turned away are repeated as long as it is. Many endpoints may crash at once
under hundreds of requests; a datagram carries a part of their reports, and the
next one the following part.
"""

import collections
import collections.abc
import dataclasses
import enum
import typing

import pydantic

from wasabilanding import model
from wasabilanding import poison

# Time for which a report is repeated.
REPEAT_S = 5.0
# Interval between repetitions of the reports on quarantined requests.
QUARANTINE_PERIOD_S = 1.0
MAX_REPORTS_PER_DATAGRAM = 32
MAX_REPEATED = 4096
# Parts named in a report; a datagram must hold all of its reports.
MAX_COMPANIONS = 32


class Scope(enum.Enum):
    """Nodes that a datagram is sent to."""

    LOCAL = "local"
    REMOTE = "remote"


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A notice about a request or a part of prompts, as nodes send it.

    :param kind: kind of the notice.
    :param fingerprint: fingerprint of the request, or the part.
    :param endpoint: the crashed endpoint and its start; empty for a request
        that has completed.
    :param age_s: seconds since the event.
    :param in_flight: known requests in flight at the crash.
    :param feature: whether it is about a request or a part of prompts.
    :param sent_before_s: seconds between the latest request being sent and
        the crash.
    :param is_known_good: whether requests with the part were answered before.
    :param companions: parts of the requests with the part.
    """

    kind: poison.NoticeKind
    fingerprint: str
    endpoint: str
    age_s: model.Quantity
    in_flight: typing.Annotated[int, pydantic.Field(ge=1)] = 1
    feature: poison.Feature = poison.Feature.REQUEST
    sent_before_s: model.Quantity = 0.0
    is_known_good: bool = False
    companions: tuple[str, ...] = ()


def report_of(notice: poison.Notice, now: float) -> CrashReport:
    """Return the report of a notice.

    :param notice: the notice.
    :param now: local monotonic time in seconds.
    """
    return CrashReport(
        notice.kind,
        notice.fingerprint,
        notice.replica,
        round(max(now - notice.at, 0.0), 3),
        notice.in_flight,
        notice.feature,
        round(max(notice.sent_before_s, 0.0), 3),
        notice.is_known_good,
        tuple(sorted(notice.companions)[:MAX_COMPANIONS]),
    )


def notice_of(report: CrashReport, now: float) -> poison.Notice:
    """Return the notice of a report that was just received.

    :param report: the report.
    :param now: local monotonic time in seconds.
    """
    return poison.Notice(
        report.kind,
        report.fingerprint,
        report.endpoint,
        now - report.age_s,
        report.in_flight,
        report.feature,
        report.sent_before_s,
        report.is_known_good,
        frozenset(report.companions),
    )


class RepeatedNotices:
    """Notices that are to be sent to some nodes for a while, in turn."""

    def __init__(self) -> None:
        self._queue: collections.deque[tuple[float, poison.Notice]] = (
            collections.deque(maxlen=MAX_REPEATED)
        )
        self._quarantine_due_at = float("-inf")

    def add(
        self, notices: collections.abc.Iterable[poison.Notice], now: float
    ) -> None:
        """Repeat some notices for :data:`REPEAT_S`.

        :param notices: the notices.
        :param now: local monotonic time in seconds.
        """
        for notice in notices:
            self._queue.appendleft((now + REPEAT_S, notice))

    def take_due(self, now: float) -> list[poison.Notice]:
        """Return the notices of the next datagram.

        :param now: local monotonic time in seconds.
        """
        due = []
        for _ in range(min(len(self._queue), MAX_REPORTS_PER_DATAGRAM)):
            until, notice = self._queue.popleft()
            if now < until:
                due.append(notice)
                self._queue.append((until, notice))
        return due

    def is_quarantine_due(self, now: float) -> bool:
        """Return whether to repeat the reports on quarantined requests.

        :param now: local monotonic time in seconds.
        """
        if now < self._quarantine_due_at:
            return False
        self._quarantine_due_at = now + QUARANTINE_PERIOD_S
        return True
