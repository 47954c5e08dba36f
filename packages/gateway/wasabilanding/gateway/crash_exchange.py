"""What a node tells other nodes of crashes, and repeats for a while."""

import collections.abc

from wasabilanding.gateway import crash_reports
from wasabilanding import poison

Notices = collections.abc.Collection[poison.Notice]
Reports = tuple[crash_reports.CrashReport, ...]
Report = collections.abc.Callable[[Reports], None]


def reports(
    notices: collections.abc.Iterable[poison.Notice], now: float
) -> Reports:
    """Return the reports of some notices.

    :param notices: the notices.
    :param now: local monotonic time in seconds.
    """
    return tuple(crash_reports.report_of(notice, now) for notice in notices)


class CrashExchange:
    """Notices that a node shares with the other nodes."""

    def __init__(self) -> None:
        # Sends reports to the other nodes at once.
        self.report: Report = lambda found: None
        self._repeated = {
            scope: crash_reports.RepeatedNotices()
            for scope in crash_reports.Scope
        }

    def share(self, notices: Notices, now: float) -> None:
        """Tell the other nodes at once, and repeat it.

        :param notices: the notices, the most important first.
        :param now: local monotonic time in seconds.
        """
        self.repeat(notices, now)
        first = list(notices)[: crash_reports.MAX_REPORTS_PER_DATAGRAM]
        self.report(reports(first, now))

    def repeat(self, notices: Notices, now: float) -> None:
        """Repeat notices in the next datagrams.

        :param notices: the notices.
        :param now: local monotonic time in seconds.
        """
        for repeated in self._repeated.values():
            repeated.add(notices, now)

    def due(
        self,
        scope: crash_reports.Scope,
        now: float,
        lasting: collections.abc.Callable[[float], list[poison.Notice]],
    ) -> Reports:
        """Return the reports that the next datagram to some nodes repeats.

        :param scope: the nodes.
        :param now: local monotonic time in seconds.
        :param lasting: returns the notices that are repeated as long as they
            hold.
        """
        repeated = self._repeated[scope]
        due = repeated.take_due(now)
        if not due and repeated.is_quarantine_due(now):
            due = lasting(now)
        return reports(due, now)
