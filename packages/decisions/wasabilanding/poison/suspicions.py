"""Requests that are suspected of crashing endpoints."""

import collections
import dataclasses
import enum
import hashlib

NOTICE_RETENTION_S = 600.0
RECENT_NOTICE_S = 10.0
UNCONDITIONAL_QUARANTINE_CRASHES = 3
WEIGHTED_QUARANTINE_CRASHES = 2
QUARANTINE_WEIGHT = 0.99
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
    """

    kind: NoticeKind
    fingerprint: str
    replica: str
    at: float

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
    """

    crashed: tuple[str, ...] = ()
    weight: float = 0.0
    until: float = 0.0

    @property
    def suspected(self) -> bool:
        """Whether it may run only alone and on one replica at a time."""
        return bool(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether it is to be refused."""
        crashes = len(self.crashed)
        if crashes >= UNCONDITIONAL_QUARANTINE_CRASHES:
            return True
        return (
            crashes >= WEIGHTED_QUARANTINE_CRASHES
            and self.weight >= QUARANTINE_WEIGHT
        )


class Suspicions:
    """Notices that a node has created or received."""

    def __init__(self) -> None:
        self._notices: dict[tuple[NoticeKind, str, str], Notice] = {}
        self._received_at: dict[tuple[NoticeKind, str, str], float] = {}
        self._crashes: dict[str, set[str]] = collections.defaultdict(set)
        self._requests: dict[str, set[str]] = collections.defaultdict(set)

    def record_crash(self, request: str, replica: str, at: float) -> None:
        """Record that a request was in flight when a replica crashed.

        :param request: fingerprint of the request.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        """
        self.merge(Notice(NoticeKind.CRASH, request, replica, at), at)

    def withdraw(self, request: str, replica: str, at: float) -> None:
        """Record that a presumed crash did not happen.

        :param request: fingerprint of the request in flight.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        """
        self.merge(Notice(NoticeKind.WITHDRAWN, request, replica, at), at)

    def clear(self, request: str, at: float) -> None:
        """Record that a suspected request has completed.

        :param request: fingerprint of the request.
        :param at: local monotonic time in seconds.
        """
        self.merge(Notice(NoticeKind.CLEARED, request, "", at), at)

    def merge(self, notice: Notice, now: float) -> bool:
        """Merge a notice; the latest one per identity is kept.

        :param notice: the notice, with its time on the local clock.
        :param now: local monotonic time in seconds.
        :returns: whether it was new.
        """
        if (
            now - notice.at > NOTICE_RETENTION_S
            or len(self._notices) >= MAX_NOTICES
        ):
            return False
        known = self._notices.get(notice.identity)
        if known and known.at >= notice.at:
            return False
        self._notices[notice.identity] = notice
        if known is None:
            self._received_at[notice.identity] = now
        if notice.kind is NoticeKind.CRASH:
            self._crashes[notice.fingerprint].add(notice.replica)
            self._requests[notice.replica].add(notice.fingerprint)
        return True

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
        if (NoticeKind.WITHDRAWN, request, replica) in self._notices:
            return False
        cleared = self._notices.get((NoticeKind.CLEARED, request, ""))
        return cleared is None or cleared.at < crash.at

    def status(self, request: str, now: float) -> SuspicionStatus:
        """Return the suspicion against a request.

        :param request: fingerprint of the request.
        :param now: local monotonic time in seconds.
        """
        replicas = self._crashes.get(request)
        if not replicas:
            return SuspicionStatus()
        crashed = sorted(
            r for r in replicas if self._is_valid_crash(request, r, now)
        )
        if not crashed:
            return SuspicionStatus()
        weight = sum(
            1 / self._suspect_count(replica, now) for replica in crashed
        )
        last = max(
            self._notices[(NoticeKind.CRASH, request, replica)].at
            for replica in crashed
        )
        return SuspicionStatus(
            tuple(crashed), weight, last + NOTICE_RETENTION_S
        )

    def _suspect_count(self, replica: str, now: float) -> int:
        return sum(
            self._is_valid_crash(request, replica, now)
            for request in self._requests[replica]
        )


def _discard(index: dict[str, set[str]], key: str, value: str) -> None:
    index[key].discard(value)
    if not index[key]:
        del index[key]
