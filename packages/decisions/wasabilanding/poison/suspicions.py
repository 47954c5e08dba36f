"""Who is suspected of crashing endpoints."""

import collections
import dataclasses
import enum
import hashlib

NOTICE_RETENTION_S = 600.0
RECENT_NOTICE_S = 10.0
MAX_CRASHES = 3
MIN_QUARANTINE_CRASHES = 2
QUARANTINE_WEIGHT = 0.99
MAX_NOTICES = 20_000
DIGEST_BYTES = 12


def fingerprint(service: str, prompt: str) -> str:
    """Return the fingerprint of a request.

    White space does not count.

    :param service: name of the service.
    :param prompt: text of the request.
    """
    text = " ".join(prompt.split())
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{service}\0{text}".encode("utf-8", "surrogatepass"))
    return digest.hexdigest()


class NoticeKind(enum.Enum):
    """What a notice tells."""

    CRASH = "crash"
    WITHDRAWN = "withdrawn"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True)
class Notice:
    """What a node tells its peers.

    :param kind: a request was in flight at a death, that death was none, or
        a suspected request has completed.
    :param fingerprint: fingerprint of the request.
    :param replica: replica that died, empty for a request that completed.
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
    """What is known against a request.

    :param crashed: replicas that died while they ran it.
    :param weight: what the deaths weigh.
    :param until: local monotonic time at which the last death is forgotten.
    """

    crashed: tuple[str, ...] = ()
    weight: float = 0.0
    until: float = 0.0

    @property
    def suspected(self) -> bool:
        """Whether it runs alone and at one replica at a time."""
        return bool(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether it is refused."""
        crashes = len(self.crashed)
        if crashes >= MAX_CRASHES:
            return True
        return (
            crashes >= MIN_QUARANTINE_CRASHES
            and self.weight >= QUARANTINE_WEIGHT
        )


class Suspicions:
    """The notices that a node has made or heard."""

    def __init__(self) -> None:
        self._notices: dict[tuple[NoticeKind, str, str], Notice] = {}
        self._heard_at: dict[tuple[NoticeKind, str, str], float] = {}
        self._crashes: dict[str, set[str]] = collections.defaultdict(set)
        self._requests: dict[str, set[str]] = collections.defaultdict(set)

    def note_crash(self, request: str, replica: str, at: float) -> None:
        """Note that a request was in flight when a replica died.

        :param request: its fingerprint.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        """
        self.learn(Notice(NoticeKind.CRASH, request, replica, at), at)

    def withdraw(self, request: str, replica: str, at: float) -> None:
        """Note that a replica did not die after all.

        :param request: fingerprint of the request in flight.
        :param replica: the replica.
        :param at: local monotonic time in seconds.
        """
        self.learn(Notice(NoticeKind.WITHDRAWN, request, replica, at), at)

    def clear(self, request: str, at: float) -> None:
        """Note that a suspected request has completed.

        :param request: its fingerprint.
        :param at: local monotonic time in seconds.
        """
        self.learn(Notice(NoticeKind.CLEARED, request, "", at), at)

    def learn(self, notice: Notice, now: float) -> bool:
        """Merge a notice; the youngest of one identity counts.

        :param notice: the notice, with local time.
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
            self._heard_at[notice.identity] = now
        if notice.kind is NoticeKind.CRASH:
            self._crashes[notice.fingerprint].add(notice.replica)
            self._requests[notice.replica].add(notice.fingerprint)
        return True

    def forget(self, now: float) -> None:
        """Drop what is too old to count.

        :param now: local monotonic time in seconds.
        """
        for identity, notice in list(self._notices.items()):
            if now - notice.at <= NOTICE_RETENTION_S:
                continue
            del self._notices[identity]
            del self._heard_at[identity]
            if notice.kind is NoticeKind.CRASH:
                _discard(self._crashes, notice.fingerprint, notice.replica)
                _discard(self._requests, notice.replica, notice.fingerprint)

    def gossip_entries(self, now: float, everything: bool) -> list[Notice]:
        """Return the notices that a peer is told.

        :param now: local monotonic time in seconds.
        :param everything: whether the peer has heard none before; else only
            those that this node heard lately.
        """
        return [
            notice
            for identity, notice in self._notices.items()
            if everything or now - self._heard_at[identity] <= RECENT_NOTICE_S
        ]

    def _counts(self, request: str, replica: str, now: float) -> bool:
        crash = self._notices.get((NoticeKind.CRASH, request, replica))
        if crash is None or now - crash.at > NOTICE_RETENTION_S:
            return False
        if (NoticeKind.WITHDRAWN, request, replica) in self._notices:
            return False
        cleared = self._notices.get((NoticeKind.CLEARED, request, ""))
        return cleared is None or cleared.at < crash.at

    def status(self, request: str, now: float) -> SuspicionStatus:
        """Return what is known against a request.

        :param request: its fingerprint.
        :param now: local monotonic time in seconds.
        """
        replicas = self._crashes.get(request)
        if not replicas:
            return SuspicionStatus()
        crashed = sorted(r for r in replicas if self._counts(request, r, now))
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
            self._counts(request, replica, now)
            for request in self._requests[replica]
        )


def _discard(index: dict[str, set[str]], key: str, value: str) -> None:
    index[key].discard(value)
    if not index[key]:
        del index[key]
