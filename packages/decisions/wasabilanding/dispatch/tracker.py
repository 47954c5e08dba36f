"""What one node has seen of the endpoints that it sends requests to."""

import collections
import collections.abc
import dataclasses

NEVER = float("-inf")
RECORD_TTL_S = 30.0
# A sound endpoint with requests gives a sign of work within this.
PROGRESS_TIMEOUT_S = 0.35
# What another node tells of an endpoint counts for so long.
PEER_AVOID_S = 3.0
# Load that another node has told counts for so long.
PEER_LOAD_TTL_S = 1.5
# Time in which a planner asks an endpoint that was found silent, and in
# which nobody is told of it again.
SILENCE_REPORT_TTL_S = 1.0


@dataclasses.dataclass
class EndpointRecord:
    """Observations of one endpoint.

    :param in_flight: own requests that it has.
    :param progress_at: local monotonic time in seconds of the last sign that
        it works.
    :param waiting_since: local monotonic time in seconds since which
        requests have waited for a sign of work.
    :param avoid_until: local monotonic time in seconds until which it is
        taken only where there is no other.
    :param updated_at: local monotonic time in seconds of the last change.
    :param silence_reported_at: local monotonic time in seconds at which a node
        last found it silent.
    """

    in_flight: int = 0
    progress_at: float = NEVER
    waiting_since: float = NEVER
    avoid_until: float = NEVER
    updated_at: float = NEVER
    silence_reported_at: float = NEVER

    def is_silent(self, now: float, bound_s: float) -> bool:
        """Tell whether requests have waited too long for a sign of work.

        :param now: local monotonic time in seconds.
        :param bound_s: longest usual wait in seconds.
        """
        return self.in_flight > 0 and now - self.waiting_since > bound_s


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What another node has told.

    :param in_flight: its requests in flight, by endpoint.
    :param at: local monotonic time in seconds at which it was told.
    """

    in_flight: dict[str, int]
    at: float


class EndpointTracker:
    """Observations of all endpoints, by their identity."""

    def __init__(self) -> None:
        self._records: dict[str, EndpointRecord] = collections.defaultdict(
            EndpointRecord
        )
        self._load_by_peer: dict[str, PeerLoad] = {}
        # Requests of all other nodes, by endpoint.
        self._peer_load: collections.Counter[str] = collections.Counter()

    @property
    def local_load(self) -> dict[str, int]:
        """Own requests in flight, by endpoint, without zeros."""
        return {
            name: record.in_flight
            for name, record in self._records.items()
            if record.in_flight
        }

    def load(self, endpoint_id: str) -> int:
        """Return the requests in flight at an endpoint, as far as known.

        :param endpoint_id: its identity.
        """
        own = self._records[endpoint_id].in_flight
        return own + self._peer_load[endpoint_id]

    def update_peer_load(
        self, node: str, load: collections.abc.Mapping[str, int], now: float
    ) -> None:
        """Learn what another node has in flight.

        The load pattern it answers: many nodes with few requests each, which
        without each other's counts would choose as if by chance.

        :param node: name of the node.
        :param load: all its requests in flight, by endpoint.
        :param now: local monotonic time in seconds.
        """
        self._drop_load(node)
        self._load_by_peer[node] = PeerLoad(dict(load), now)
        self._peer_load.update(load)

    def _drop_load(self, node: str) -> None:
        told = self._load_by_peer.pop(node, None)
        if told is None:
            return
        self._peer_load.subtract(told.in_flight)
        for name in told.in_flight:
            if not self._peer_load[name]:
                del self._peer_load[name]

    def record(self, endpoint_id: str) -> EndpointRecord:
        """Return what is known of an endpoint.

        :param endpoint_id: its identity.
        """
        return self._records[endpoint_id]

    def begin(self, endpoint_id: str, now: float) -> None:
        """Count a request that is sent to an endpoint.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        """
        record = self._records[endpoint_id]
        if not record.in_flight:
            record.waiting_since = now
        record.in_flight += 1
        record.updated_at = now

    def end(self, endpoint_id: str) -> None:
        """Count a request no more.

        :param endpoint_id: identity of the endpoint that had it.
        """
        self._records[endpoint_id].in_flight -= 1

    def record_progress(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint gave a sign of work, here or elsewhere.

        The load pattern it answers: a replica with a long queue. Requests
        that wait there get no sign of work for long, while those of other
        nodes go on.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds of the sign.
        """
        record = self._records[endpoint_id]
        record.progress_at = max(record.progress_at, now)
        record.waiting_since = max(record.waiting_since, now)

    def worked_ago_s(self, now: float, within_s: float) -> dict[str, float]:
        """Return which endpoints have worked here lately, and when.

        :param now: local monotonic time in seconds.
        :param within_s: how long ago at most, in seconds.
        :returns: seconds since their last sign of work, by endpoint.
        """
        return {
            name: now - record.progress_at
            for name, record in self._records.items()
            if now - record.progress_at < within_s
        }

    def avoid(self, endpoint_id: str, now: float, for_s: float) -> None:
        """Prefer other endpoints for a time.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        :param for_s: seconds.
        """
        record = self._records[endpoint_id]
        record.avoid_until = max(record.avoid_until, now + for_s)
        record.updated_at = now

    def silent_endpoints(self, now: float, bound_s: float) -> frozenset[str]:
        """Return the endpoints whose requests wait for a sign of work.

        :param now: local monotonic time in seconds.
        :param bound_s: longest usual wait in seconds.
        """
        return frozenset(
            name
            for name, record in self._records.items()
            if record.is_silent(now, bound_s)
            or now - record.silence_reported_at < SILENCE_REPORT_TTL_S
        )

    def is_silent_unlike_others(self, endpoint_id: str, now: float) -> bool:
        """Tell whether an endpoint is silent while another one works.

        If none works, this node's own network may be at fault.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        """
        working = self.worked_ago_s(now, PROGRESS_TIMEOUT_S)
        return bool(working) and endpoint_id not in working

    def record_silence(self, endpoint_id: str, now: float) -> bool:
        """Note that this node or another one finds an endpoint silent.

        The load pattern it answers: many nodes with few requests each. Every
        one of them would send a request to a dead endpoint to learn of it.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        :returns: whether it is news; not if the endpoint has just worked
            here, or was found silent a short time ago.
        """
        record = self._records[endpoint_id]
        if now - record.progress_at < PROGRESS_TIMEOUT_S:
            return False
        is_news = now - record.silence_reported_at >= SILENCE_REPORT_TTL_S
        record.silence_reported_at = now
        self.avoid(endpoint_id, now, PEER_AVOID_S)
        return is_news

    def drop_expired(self, now: float) -> None:
        """Drop endpoints not used for long, and load told long ago.

        :param now: local monotonic time in seconds.
        """
        late = [
            node
            for node, told in self._load_by_peer.items()
            if now - told.at > PEER_LOAD_TTL_S
        ]
        for node in late:
            self._drop_load(node)
        old = [
            name
            for name, record in self._records.items()
            if not record.in_flight and now - record.updated_at > RECORD_TTL_S
        ]
        for name in old:
            del self._records[name]
