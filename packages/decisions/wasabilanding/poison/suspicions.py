"""Requests that are suspected of crashing endpoints."""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import hashlib

NOTICE_RETENTION_S = 600.0
RECENT_NOTICE_S = 10.0
UNCONDITIONAL_QUARANTINE_CRASHES = 3
WEIGHTED_QUARANTINE_CRASHES = 2
QUARANTINE_WEIGHT = 0.99
# Crashes are a mass event if so many replicas that did not run a request
# crash within the window of one that did.
MASS_EVENT_REPLICAS = 4
MASS_EVENT_WINDOW_S = 1.0
# Copies of a notice may differ so much in their time, as each node derives it
# from an age.
SAME_EVENT_S = 1.0
# Quarantined after so many crashes even if all were part of mass events.
MASS_EVENT_QUARANTINE_CRASHES = 5
MAX_NOTICES = 20_000
DIGEST_BYTES = 12


def fingerprint(service: str, prompt: str) -> str:
    """Return the fingerprint of a request.

    Differences in white space are ignored.

    :param service: name of the service.
    :param prompt: text of the request.
    """
    text = " ".join(prompt.split())
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{service}\0{text}".encode("utf-8", "surrogatepass"))
    return digest.hexdigest()


def exact_fingerprint(parts: collections.abc.Iterable[bytes]) -> str:
    """Return the fingerprint of a request whose parts count byte for byte.

    :param parts: what identifies the request, such as its path and body.

    Examples
    ========

    >>> from wasabilanding import poison
    >>> one = poison.exact_fingerprint([b"/a", b"bc"])
    >>> one == poison.exact_fingerprint([b"/ab", b"c"])
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class Feature(enum.Enum):
    """What requests can have in common that ends endpoints."""

    REQUEST = "request"
    PART = "part"


class NoticeKind(enum.Enum):
    """Kind of a notice."""

    CRASH = "crash"
    WITHDRAWN = "withdrawn"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True)
class Notice:
    """Notice about a request, which nodes exchange.

    :param kind: the request was in flight at a crash, that crash was a false
        detection, or the suspected request has completed.
    :param fingerprint: fingerprint of the request.
    :param replica: replica that crashed; empty for a completed request.
    :param at: local monotonic time of the event in seconds.
    :param in_flight: requests that were in flight at a crash, as far as the
        node knew that reports it.
    :param feature: whether it is about a whole request, whose content the
        fingerprint identifies, or about a part of a prompt.
    :param sent_before_s: seconds between a request with the feature being
        sent to the replica, the latest one, and the crash.
    :param is_known_good: whether requests with the feature were answered
        before.
    :param companions: parts of the requests with a part, itself included.
    """

    kind: NoticeKind
    fingerprint: str
    replica: str
    at: float
    in_flight: int = 1
    feature: Feature = Feature.REQUEST
    sent_before_s: float = 0.0
    is_known_good: bool = False
    companions: frozenset[str] = frozenset()

    @property
    def identity(self) -> tuple[NoticeKind, str, str]:
        """Kind, fingerprint and replica."""
        return (self.kind, self.fingerprint, self.replica)


@dataclasses.dataclass(frozen=True)
class SuspicionStatus:
    """Suspicion against a request.

    :param crashed: replicas that crashed while they ran it.
    :param weight: sum of the weights of the crashes.
    :param until: local monotonic time at which the last crash expires.
    :param isolated: number of the crashes that are no part of a mass event.
    """

    crashed: tuple[str, ...] = ()
    weight: float = 0.0
    until: float = 0.0
    isolated: int = 0

    @property
    def suspected(self) -> bool:
        """Whether it may run only alone and on one replica at a time."""
        return bool(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether it is to be refused."""
        crashes = len(self.crashed)
        if self.isolated >= UNCONDITIONAL_QUARANTINE_CRASHES:
            return True
        if crashes >= MASS_EVENT_QUARANTINE_CRASHES:
            return True
        return (
            self.isolated >= WEIGHTED_QUARANTINE_CRASHES
            and self.weight >= QUARANTINE_WEIGHT
        )


class Suspicions:
    """Notices on one kind of feature that a node has created or received.

    :param feature: the kind of feature.
    """

    def __init__(self, feature: Feature = Feature.REQUEST) -> None:
        self._feature = feature
        self._notices: dict[tuple[NoticeKind, str, str], Notice] = {}
        self._received_at: dict[tuple[NoticeKind, str, str], float] = {}
        self._crashes: dict[str, set[str]] = collections.defaultdict(set)
        self._requests: dict[str, set[str]] = collections.defaultdict(set)
        # Times of the replicas' latest crashes, and the replicas in order.
        self._crashed_at: dict[str, float] = {}
        self._timeline: list[tuple[float, str]] = []

    @property
    def are_empty(self) -> bool:
        """Whether no request is suspected or was."""
        return not self._notices

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Fingerprints with crashes that count or did."""
        return tuple(self._crashes)

    def suspected(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of the requests that are suspected.

        :param now: local monotonic time in seconds.
        """
        return tuple(
            request
            for request, replicas in self._crashes.items()
            if any(self._is_valid_crash(request, r, now) for r in replicas)
        )

    def quarantined(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of the requests that are to be refused.

        :param now: local monotonic time in seconds.
        """
        return tuple(
            request
            for request, replicas in self._crashes.items()
            if len(replicas) >= WEIGHTED_QUARANTINE_CRASHES
            and self.status(request, now).quarantined
        )

    def evidence(self, request: str, now: float) -> tuple[Notice, ...]:
        """Return the crashes that alone show that a request is quarantined.

        Each states as many requests in flight as may still have caused it, as
        another node does not know which of them were cleared.

        :param request: its fingerprint.
        :param now: local monotonic time in seconds.
        """
        crashes = self.valid_crashes(request, now)
        return tuple(
            dataclasses.replace(
                crash, in_flight=self._suspect_count(crash.replica, now)
            )
            for crash in crashes[-MASS_EVENT_QUARANTINE_CRASHES:]
        )

    def is_known(self, notice: Notice) -> bool:
        """Return whether a notice on the same event was merged before.

        :param notice: the notice.
        """
        return notice.identity in self._notices

    def is_refuted(self, crash: Notice, now: float) -> bool:
        """Return whether a crash was withdrawn, or its request cleared of it.

        :param crash: notice of the crash, of any age.
        :param now: local monotonic time in seconds.
        """
        known = self._notices.get(crash.identity)
        if known is None or now - known.at > NOTICE_RETENTION_S:
            return False
        return not self._is_valid_crash(crash.fingerprint, crash.replica, now)

    def withdraw_all(self, replica: str, at: float) -> tuple[Notice, ...]:
        """Record that a replica, presumed to have crashed, has not.

        :param replica: the replica.
        :param at: local monotonic time in seconds.
        :returns: a notice for each request that was in flight there.
        """
        return tuple(
            self.withdraw(request, replica, at)
            for request in sorted(self._requests.get(replica, ()))
        )

    def record_crash(
        self, request: str, replica: str, at: float, in_flight: int = 1
    ) -> Notice:
        """Record that a request was in flight when a replica crashed.

        :param request: fingerprint of the request.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        :param in_flight: known requests in flight there.
        :returns: the notice.
        """
        notice = Notice(
            NoticeKind.CRASH, request, replica, at, in_flight, self._feature
        )
        self.merge(notice, at)
        return notice

    def withdraw(self, request: str, replica: str, at: float) -> Notice:
        """Record that a presumed crash did not happen.

        :param request: fingerprint of the request in flight.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        :returns: the notice.
        """
        notice = Notice(
            NoticeKind.WITHDRAWN, request, replica, at, feature=self._feature
        )
        self.merge(notice, at)
        return notice

    def clear(self, request: str, at: float) -> Notice:
        """Record that a suspected request has completed.

        :param request: fingerprint of the request.
        :param at: local monotonic time in seconds.
        :returns: the notice.
        """
        notice = Notice(
            NoticeKind.CLEARED, request, "", at, feature=self._feature
        )
        self.merge(notice, at)
        return notice

    def is_news(self, notice: Notice) -> bool:
        """Return whether a received notice is no copy of a known one.

        :param notice: the notice, with its time on the local clock.
        """
        known = self._notices.get(notice.identity)
        if known is None or notice.at > known.at + SAME_EVENT_S:
            return True
        if notice.kind is NoticeKind.CLEARED:
            return self._ends_suspicion(notice)
        merged = _merged(known, notice)
        return (merged.is_known_good, merged.companions) != (
            known.is_known_good,
            known.companions,
        )

    def _ends_suspicion(self, notice: Notice) -> bool:
        """Return whether a notice of an answer makes a crash not count."""
        return any(
            crash.at <= notice.at
            for crash in self.valid_crashes(notice.fingerprint, notice.at)
        )

    def valid_crashes(self, request: str, now: float) -> list[Notice]:
        """Return the crashes that count against a request, oldest first.

        :param request: its fingerprint.
        :param now: local monotonic time in seconds.
        """
        found = [
            self._notices[(NoticeKind.CRASH, request, replica)]
            for replica in self._crashes.get(request, ())
            if self._is_valid_crash(request, replica, now)
        ]
        return sorted(found, key=lambda notice: notice.at)

    def in_flight_at(self, replica: str) -> frozenset[str]:
        """Return the fingerprints in flight at the crash of a replica.

        :param replica: the replica.
        """
        return frozenset(self._requests.get(replica, ()))

    def merge(self, notice: Notice, now: float) -> bool:
        """Merge a notice; the latest one per identity is kept.

        :param notice: the notice, with its time on the local clock.
        :param now: local monotonic time in seconds.
        :returns: whether it was new.
        """
        if now - notice.at > NOTICE_RETENTION_S:
            return False
        known = self._notices.get(notice.identity)
        if known:
            notice = _merged(known, notice)
        if known == notice:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            return False
        self._notices[notice.identity] = notice
        if known is None:
            self._received_at[notice.identity] = now
        if notice.kind is NoticeKind.CRASH:
            self._crashes[notice.fingerprint].add(notice.replica)
            self._requests[notice.replica].add(notice.fingerprint)
            self._note_time(notice)
        return True

    def _note_time(self, crash: Notice) -> None:
        known_at = self._crashed_at.get(crash.replica)
        if known_at is not None:
            if crash.at <= known_at:
                return
            self._forget_time(crash.replica)
        self._crashed_at[crash.replica] = crash.at
        bisect.insort(self._timeline, (crash.at, crash.replica))

    def _forget_time(self, replica: str) -> None:
        self._timeline.remove((self._crashed_at.pop(replica), replica))

    def forget(self, now: float) -> None:
        """Discard expired notices.

        :param now: local monotonic time in seconds.
        """
        for identity, notice in list(self._notices.items()):
            if now - notice.at <= NOTICE_RETENTION_S:
                continue
            del self._notices[identity]
            del self._received_at[identity]
            if notice.kind is NoticeKind.CRASH:
                _discard(self._crashes, notice.fingerprint, notice.replica)
                _discard(self._requests, notice.replica, notice.fingerprint)
                if notice.replica not in self._requests:
                    self._forget_time(notice.replica)

    def gossip_entries(self, now: float, everything: bool) -> list[Notice]:
        """Return the notices to send to a peer.

        :param now: local monotonic time in seconds.
        :param everything: whether to include all notices, for a peer that
            has received none; otherwise only recent ones are included.
        """
        return [
            notice
            for identity, notice in self._notices.items()
            if everything
            or now - self._received_at[identity] <= RECENT_NOTICE_S
        ]

    def _is_valid_crash(self, request: str, replica: str, now: float) -> bool:
        """Tell whether a crash still counts against a request."""
        crash = self._notices.get((NoticeKind.CRASH, request, replica))
        if crash is None or now - crash.at > NOTICE_RETENTION_S:
            return False
        withdrawn = self._notices.get((NoticeKind.WITHDRAWN, request, replica))
        if withdrawn is not None and withdrawn.at >= crash.at:
            return False
        cleared = self._notices.get((NoticeKind.CLEARED, request, ""))
        return cleared is None or cleared.at < crash.at

    def status(self, request: str, now: float) -> SuspicionStatus:
        """Return the suspicion against a request.

        :param request: fingerprint of the request.
        :param now: local monotonic time in seconds.
        """
        crashes = self.valid_crashes(request, now)
        if not crashes:
            return SuspicionStatus()
        crashed = sorted(crash.replica for crash in crashes)
        weight = 0.0
        isolated = 0
        for replica in crashed:
            others = self._crashes_beside(request, replica)
            is_mass_event = others >= MASS_EVENT_REPLICAS
            isolated += not is_mass_event
            causes = 1 + others if is_mass_event else 1
            weight += 1 / (self._suspect_count(replica, now) * causes)
        until = crashes[-1].at + NOTICE_RETENTION_S
        return SuspicionStatus(tuple(crashed), weight, until, isolated)

    def _suspect_count(self, replica: str, now: float) -> int:
        """Return how many requests may have caused a crash."""
        requests = self._requests[replica]
        valid = sum(
            self._is_valid_crash(request, replica, now) for request in requests
        )
        in_flight = max(
            self._notices[(NoticeKind.CRASH, request, replica)].in_flight
            for request in requests
        )
        unknown = max(in_flight - len(requests), 0)
        return valid + unknown

    def _crashes_beside(self, request: str, replica: str) -> int:
        """Count crashes about the time of one that had no part in them."""
        at = self._notices[(NoticeKind.CRASH, request, replica)].at
        first = bisect.bisect_left(
            self._timeline, at - MASS_EVENT_WINDOW_S, key=_time_of
        )
        last = bisect.bisect_right(
            self._timeline, at + MASS_EVENT_WINDOW_S, key=_time_of
        )
        return sum(
            request not in self._requests[other]
            for _, other in self._timeline[first:last]
        )


def _time_of(entry: tuple[float, str]) -> float:
    return entry[0]


def _merged(known: Notice, notice: Notice) -> Notice:
    """Return what two notices say that have the same identity."""
    latest = notice if notice.at > known.at else known
    return dataclasses.replace(
        latest,
        is_known_good=known.is_known_good or notice.is_known_good,
        companions=known.companions | notice.companions,
    )


def _discard(index: dict[str, set[str]], key: str, value: str) -> None:
    index[key].discard(value)
    if not index[key]:
        del index[key]
