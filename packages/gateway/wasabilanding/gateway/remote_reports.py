"""When and to which node of another failure domain load is reported."""

import collections.abc

from wasabilanding import dispatch

PERIOD_S = 0.2
# A collector that sends nothing for this time is searched anew among the
# nodes of its failure domain.
COLLECTOR_TTL_S = 1.5
# Reports sent to one node before the next one is tried.
SEARCH_SENDS = 5
NEVER = float("-inf")


class RemoteReports:
    """Reports of load from this node to other failure domains."""

    def __init__(self) -> None:
        # Last sender of load in each other failure domain, and when.
        self._senders: dict[str, tuple[str, float]] = {}
        self._reports = 0
        self._sent_at = NEVER
        self._sent_load: dispatch.Load = {}

    def is_due(self, now: float) -> bool:
        """Tell whether a report may be sent now.

        :param now: local monotonic time in seconds.
        """
        return now - self._sent_at >= PERIOD_S

    def try_begin(
        self, load: dispatch.Load, has_news: bool, now: float
    ) -> bool:
        """Tell whether to report a load now; if so, count the report.

        The end of all load is reported once.

        :param load: requests in flight, by endpoint.
        :param has_news: whether something else is to be reported.
        :param now: local monotonic time in seconds.
        """
        if not self.is_due(now):
            return False
        if not (load or self._sent_load or has_news):
            return False
        self._sent_at = now
        self._sent_load = load
        self._reports += 1
        return True

    def note_sender(self, domain: str, node: str, now: float) -> None:
        """Record that a node has reported the load of its failure domain.

        :param domain: its failure domain.
        :param node: name of the node.
        :param now: local monotonic time in seconds.
        """
        self._senders[domain] = (node, now)

    def collector(
        self, domain: str, nodes: collections.abc.Iterable[str], now: float
    ) -> str:
        """Return the likely collector of another failure domain.

        It is the node that last reported its load; otherwise the nodes are
        tried in turn, the first ones by name at first.

        :param domain: the failure domain.
        :param nodes: names of its nodes.
        :param now: local monotonic time in seconds.
        """
        names = sorted(nodes)
        sender, at = self._senders.get(domain, ("", NEVER))
        if sender in names and now - at < COLLECTOR_TTL_S:
            return sender
        return names[self._reports // SEARCH_SENDS % len(names)]
