"""Observations of one node about the endpoints that it uses.

Explanation
===========

An endpoint that starts again under its identity knows nothing of the requests
before, so its observations begin anew: progress of the next start must not
excuse the silence of the previous one, whose requests wait for nothing. Load
that other nodes report is by identity alone. It is replaced several times a
second, so that it soon leaves out what has ended with a start.
"""

import collections
import collections.abc
import dataclasses

from wasabilanding.dispatch import holds as holds_module
from wasabilanding import fleet

NEVER = float("-inf")
RECORD_TTL_S = 30.0
# A healthy endpoint with requests in flight makes progress within this time.
PROGRESS_TIMEOUT_S = 0.35
# Time for which an endpoint is avoided after a report that it is silent.
SILENT_AVOID_S = 3.0
# Time for which load reported by another node is used.
PEER_LOAD_TTL_S = 1.5
# Time for which an endpoint reported as silent counts as silent, so that a
# planner probes it, and for which the report is not repeated.
SILENCE_REPORT_TTL_S = 1.0
# Digits of the seconds since an endpoint's last progress; reports of many
# nodes share a datagram.
AGE_DIGITS = 3

# Requests in flight, by identity of the endpoint.
Load = dict[str, int]


@dataclasses.dataclass
class EndpointObservations:
    """Observations of one start of an endpoint.

    :param in_flight: this node's requests in flight to it.
    :param tokens: tokens of these requests.
    :param waiting: those that wait for it, not for their callers.
    :param progress_at: local monotonic time in seconds of its last progress,
        seen by any node.
    :param own_progress_at: the same, seen by this node.
    :param waiting_since: local monotonic time in seconds since which
        requests have waited for progress.
    :param avoid_until: local monotonic time in seconds until which it is
        used only if there is no other.
    :param updated_at: local monotonic time in seconds of the last change.
    :param silence_reported_at: local monotonic time in seconds at which a node
        last reported it as silent.
    """

    in_flight: int = 0
    tokens: int = 0
    waiting: int = 0
    progress_at: float = NEVER
    own_progress_at: float = NEVER
    waiting_since: float = NEVER
    avoid_until: float = NEVER
    updated_at: float = NEVER
    silence_reported_at: float = NEVER

    def is_silent(self, now: float, bound_s: float) -> bool:
        """Tell whether requests have waited too long for progress.

        :param now: local monotonic time in seconds.
        :param bound_s: longest usual wait in seconds.
        """
        return self.waiting > 0 and now - self.waiting_since > bound_s


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """Load reported by another node.

    :param in_flight: its requests in flight, by identity of the endpoint.
    :param at: local monotonic time in seconds of the report.
    """

    in_flight: dict[str, int]
    at: float


class EndpointTracker:
    """Observations of all endpoints, by identity and start."""

    def __init__(self) -> None:
        self.holds = holds_module.EndpointHolds()
        self._records: dict[fleet.Incarnation, EndpointObservations] = (
            collections.defaultdict(EndpointObservations)
        )
        self._load_by_peer: dict[str, PeerLoad] = {}
        # Requests in flight from all other nodes, by identity.
        self._peer_load: Load = {}

    @property
    def local_load(self) -> dict[str, int]:
        """This node's requests in flight, by identity, without zeros."""
        load: collections.Counter[str] = collections.Counter()
        for endpoint, record in self._records.items():
            if record.in_flight:
                load[endpoint.endpoint_id] += record.in_flight
        return dict(load)

    def load(self, endpoint: fleet.Incarnation) -> int:
        """Return the known requests in flight to an endpoint.

        :param endpoint: the endpoint.
        """
        local = self._records[endpoint].in_flight
        return local + self._peer_load.get(endpoint.endpoint_id, 0)

    def peer_load(self, endpoint: fleet.Incarnation) -> int:
        """Return the known requests of other nodes in flight to an endpoint.

        :param endpoint: the endpoint.
        """
        return self._peer_load.get(endpoint.endpoint_id, 0)

    def load_of_nodes(self, nodes: collections.abc.Iterable[str]) -> Load:
        """Return the requests in flight from this node and some others.

        :param nodes: names of the other nodes.
        :returns: requests in flight, by identity, without zeros.
        """
        total = collections.Counter(self.local_load)
        for node in nodes:
            report = self._load_by_peer.get(node)
            if report is not None:
                total.update(report.in_flight)
        return dict(+total)

    def update_peer_load(
        self, node: str, load: collections.abc.Mapping[str, int], now: float
    ) -> None:
        """Replace the load reported by another node.

        With many nodes and few requests on each, local counts alone would
        spread the load no better than random choice.

        :param node: name of the node.
        :param load: all its requests in flight, by identity.
        :param now: local monotonic time in seconds.
        """
        self._drop_load(node)
        self._load_by_peer[node] = PeerLoad(dict(load), now)
        total = self._peer_load
        for name, in_flight in load.items():
            total[name] = total.get(name, 0) + in_flight

    def _drop_load(self, node: str) -> None:
        report = self._load_by_peer.pop(node, None)
        if report is None:
            return
        total = self._peer_load
        for name, in_flight in report.in_flight.items():
            left = total.pop(name, 0) - in_flight
            if left:
                total[name] = left

    def record(self, endpoint: fleet.Incarnation) -> EndpointObservations:
        """Return the observations of an endpoint.

        :param endpoint: the endpoint.
        """
        return self._records[endpoint]

    def begin(
        self, endpoint: fleet.Incarnation, now: float, tokens: int = 0
    ) -> None:
        """Count a request that is sent to an endpoint.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :param tokens: tokens of the request; 0 if not known.
        """
        record = self._records[endpoint]
        record.in_flight += 1
        record.tokens += tokens
        record.updated_at = now
        self.resume(endpoint, now)

    def end(self, endpoint: fleet.Incarnation, tokens: int = 0) -> None:
        """Remove a finished request from the count.

        :param endpoint: the endpoint.
        :param tokens: tokens of the request, as when it was sent.
        """
        record = self._records[endpoint]
        record.in_flight -= 1
        record.tokens -= tokens
        self.suspend(endpoint)

    def suspend(self, endpoint: fleet.Incarnation) -> None:
        """Record that a request waits for its caller, not for the endpoint.

        :param endpoint: the endpoint.
        """
        self._records[endpoint].waiting -= 1

    def resume(self, endpoint: fleet.Incarnation, now: float) -> None:
        """Record that a request waits for the endpoint.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        """
        record = self._records[endpoint]
        if not record.waiting:
            record.waiting_since = now
        record.waiting += 1

    def record_progress(self, endpoint: fleet.Incarnation, now: float) -> None:
        """Record progress of an endpoint that this node has seen.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds of the progress.
        """
        record = self._records[endpoint]
        record.own_progress_at = max(record.own_progress_at, now)
        self.record_peer_progress(endpoint, now)

    def record_peer_progress(
        self, endpoint: fleet.Incarnation, at: float
    ) -> None:
        """Record progress of an endpoint that another node has seen.

        On a replica with a long queue, the requests of this node may wait
        without progress while those of other nodes advance.

        :param endpoint: the endpoint.
        :param at: local monotonic time in seconds of the progress.
        """
        record = self._records[endpoint]
        record.progress_at = max(record.progress_at, at)
        record.waiting_since = max(record.waiting_since, at)

    def was_used(
        self, endpoint: fleet.Incarnation, now: float, within_s: float
    ) -> bool:
        """Tell whether requests to one start of an endpoint are known.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :param within_s: seconds within which requests of other nodes count.
        """
        record = self._records.get(endpoint)
        if record is None:
            return False
        return record.in_flight > 0 or now - record.progress_at < within_s

    def worked_ago_s(self, now: float, within_s: float) -> dict[str, float]:
        """Return the time since this node saw progress of active endpoints.

        What other nodes have seen is left out: the nodes would repeat it to
        each other, each time a little later, long after the last progress.

        :param now: local monotonic time in seconds.
        :param within_s: maximum time since the last progress in seconds.
        :returns: seconds since the last progress, by identity; of several
            starts, the shortest.
        """
        ages_s: dict[str, float] = {}
        for endpoint, record in self._records.items():
            age_s = now - record.own_progress_at
            if age_s < within_s:
                name = endpoint.endpoint_id
                rounded_s = round(age_s, AGE_DIGITS)
                ages_s[name] = min(rounded_s, ages_s.get(name, rounded_s))
        return ages_s

    def avoid(
        self, endpoint: fleet.Incarnation, now: float, for_s: float
    ) -> None:
        """Prefer other endpoints for a time.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :param for_s: duration in seconds.
        """
        record = self._records[endpoint]
        record.avoid_until = max(record.avoid_until, now + for_s)
        record.updated_at = now

    def silent_endpoints(
        self, now: float, bound_s: float
    ) -> frozenset[fleet.Incarnation]:
        """Return the endpoints whose requests make no progress.

        :param now: local monotonic time in seconds.
        :param bound_s: longest usual wait in seconds.
        """
        return frozenset(
            endpoint
            for endpoint, record in self._records.items()
            if record.is_silent(now, bound_s)
            or now - record.silence_reported_at < SILENCE_REPORT_TTL_S
        )

    def is_silent_unlike_others(
        self, endpoint: fleet.Incarnation, now: float
    ) -> bool:
        """Tell whether an endpoint is silent while another makes progress.

        If none makes progress, this node's own network may be at fault.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        """
        progressing = {
            other
            for other, record in self._records.items()
            if now - record.progress_at < PROGRESS_TIMEOUT_S
        }
        return bool(progressing) and endpoint not in progressing

    def record_silence(self, endpoint: fleet.Incarnation, now: float) -> bool:
        """Record that this or another node reports an endpoint as silent.

        Without such reports, each of many nodes would lose a request to a
        dead endpoint before it avoids the endpoint.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: whether the report is new; false if the endpoint just made
            progress here, or was reported as silent a short time ago.
        """
        record = self._records[endpoint]
        if now - record.progress_at < PROGRESS_TIMEOUT_S:
            return False
        is_new = now - record.silence_reported_at >= SILENCE_REPORT_TTL_S
        record.silence_reported_at = now
        self.avoid(endpoint, now, SILENT_AVOID_S)
        return is_new

    def drop_expired(self, now: float) -> None:
        """Drop unused endpoints and outdated load reports.

        :param now: local monotonic time in seconds.
        """
        self.holds.drop_expired(now)
        outdated = [
            node
            for node, report in self._load_by_peer.items()
            if now - report.at > PEER_LOAD_TTL_S
        ]
        for node in outdated:
            self._drop_load(node)
        unused = [
            endpoint
            for endpoint, record in self._records.items()
            if not record.in_flight and now - record.updated_at > RECORD_TTL_S
        ]
        for endpoint in unused:
            del self._records[endpoint]
