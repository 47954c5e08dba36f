"""Endpoints that are cold, and the rate at which requests are sent to them.

Explanation
===========

An endpoint is cold for some seconds after its start, and may become cold at
any moment. It states in its registration and in replies for how long. While
it is cold, it takes a configured number of requests a second from all nodes
together, and crashes above :data:`OVERSHOOT` times that number plus
:data:`SLACK` in any one second.

Order of statements: a reply is as new as the time at which it is read. A
registration is read up to :data:`REGISTRATION_AGE_S` after it was written, so
it is ordered by the earliest time at which it may have been written, while
its remaining time counts from when it is read. A newer statement replaces an
older one. One that may be older can only prolong the time: it may be about an
earlier phase.

An endpoint that becomes cold while it is in use has got requests without a
limit until the nodes know of it, and the bound counts them together with what
is sent after that. So nothing is sent to it for :data:`QUIET_S` from then on.

An endpoint whose connections fail may have started again under the same
identity before its new registration is read. So it counts as cold for the
time that follows a start, until it says otherwise.

Rate: the times of sending are reserved by the generic cell rate algorithm
(:mod:`wasabilanding.dispatch.send_slots`). With a rate ``p`` and unused times
kept for ``b`` seconds, at most ``p (1 + b) + 1`` reserved times are in one
second. A request is sent at most ``v`` seconds after its reserved time, so at
most ``p (1 + v + b) + 1`` are sent in one second. The first and the second
node in the order, which gives out half, together allow
``1.5 p (1 + v + b) + 2``. That is at most ``1.5 r + 5``, less a margin ``m``,
for ``p = (1.5 r + 3 - m) / (1.5 (1 + v + b))``. See
docs/design/endpoint-limits.md for a table.
"""

import collections.abc
import dataclasses

from wasabilanding.dispatch import named_limits
from wasabilanding.dispatch import send_slots
from wasabilanding import fleet

# A cold endpoint crashes above rate x OVERSHOOT + SLACK in one second.
OVERSHOOT = 1.5
SLACK = 5.0
# Requests a second by which the reserved rate stays below that.
MARGIN = 0.5
# Greatest age of a registration when it is read.
REGISTRATION_AGE_S = 2.0
# Longest time from a question to the owner of the send times until the
# reserved time, beyond the wait that the owner has stated; and from then on
# until the request is sent on an established connection. The rest of
# MAX_DELAY_S is for the tasks of the node that run in between.
MAX_REPLY_DELAY_S = 0.1
MAX_CONNECT_DELAY_S = 0.08
MAX_DELAY_S = 0.2
# Time for which unused times are kept.
COLD_BURST_S = 0.05
# The bound is on any second. For so long nothing is sent to an endpoint that
# has become cold while in use.
QUIET_S = 1.0
# Time for which statements in replies are repeated to other nodes.
RECENT_S = 5.0
_WINDOW_S = 1.0 + MAX_DELAY_S + COLD_BURST_S


def send_rate(cold_per_s: float) -> float:
    """Return the rate at which send times of a cold endpoint are reserved.

    :param cold_per_s: requests a second that the endpoint takes.
    :returns: requests a second of the first node in the order.

    Examples
    ========

    >>> from wasabilanding import dispatch
    >>> [round(dispatch.send_rate(r), 2) for r in (0.01, 1.0, 17.0, 100.0)]
    [0.25, 1.0, 14.93, 81.33]
    """
    shares = sum(send_slots.SHARES)
    # Each node in the order may send one request at once.
    first_requests = len(send_slots.SHARES)
    allowed = OVERSHOOT * cold_per_s + SLACK - first_requests - MARGIN
    return max(
        min(cold_per_s, allowed / (shares * _WINDOW_S)),
        named_limits.MIN_RATE_PER_S,
    )


def effective_rate(
    named_per_s: float | None, cold_per_s: float | None
) -> float | None:
    """Return the rate at which requests are sent to an endpoint.

    :param named_per_s: requests a second that it names in replies; None if it
        names no limit.
    :param cold_per_s: requests a second that it takes while cold; None if it
        is not cold.
    :returns: requests a second; None without a limit.

    Examples
    ========

    >>> from wasabilanding import dispatch
    >>> dispatch.effective_rate(1.3, 17.0), dispatch.effective_rate(40.0, 2.0)
    (1.3, 2.0)
    >>> dispatch.effective_rate(None, 2.0), dispatch.effective_rate(None, None)
    (2.0, None)
    """
    cold_rate = None if cold_per_s is None else send_rate(cold_per_s)
    rates = [rate for rate in (named_per_s, cold_rate) if rate is not None]
    return min(rates, default=None)


@dataclasses.dataclass(frozen=True)
class ColdPhase:
    """What is known of the time for which an endpoint is cold.

    :param until: local monotonic time in seconds at which it ends.
    :param stated_at: local monotonic time in seconds of the statement; for a
        registration, the earliest one.
    :param is_from_reply: whether a reply stated it, so that other nodes may
        not know it.
    """

    until: float
    stated_at: float
    is_from_reply: bool


def from_reply(left_s: float, at: float) -> ColdPhase:
    """Return what a reply states.

    :param left_s: seconds for which the endpoint stays cold.
    :param at: local monotonic time in seconds of the reply.
    """
    return ColdPhase(at + left_s, at, True)


def from_registration(left_s: float, read_at: float) -> ColdPhase:
    """Return what a registration states.

    :param left_s: seconds for which the endpoint stays cold.
    :param read_at: local monotonic time in seconds at which it was read.
    """
    return ColdPhase(read_at + left_s, read_at - REGISTRATION_AGE_S, False)


def merge(known: ColdPhase, other: ColdPhase) -> ColdPhase:
    """Return what two statements about one start of an endpoint amount to.

    :param known: the statement that is known.
    :param other: another one.

    Examples
    ========

    >>> from wasabilanding.dispatch import cold
    >>> stated = cold.from_reply(3.0, 10.0)
    >>> cold.merge(stated, cold.from_registration(0.0, 11.0)).until
    13.0
    >>> cold.merge(stated, cold.from_registration(0.0, 12.5)).until
    12.5
    """
    if other.stated_at > known.stated_at:
        return other
    return dataclasses.replace(
        known,
        until=max(known.until, other.until),
        is_from_reply=known.is_from_reply or other.is_from_reply,
    )


class ColdEndpoints:
    """Cold endpoints, by endpoint and its start."""

    def __init__(self) -> None:
        self._phases: dict[fleet.Incarnation, ColdPhase] = {}
        # Local monotonic times in seconds before which nothing is sent.
        self._quiet_until: dict[fleet.Incarnation, float] = {}

    def note(
        self, endpoint: fleet.Incarnation, phase: ColdPhase, now: float
    ) -> bool:
        """Record a statement about an endpoint.

        :param endpoint: the endpoint.
        :param phase: the statement.
        :param now: local monotonic time in seconds.
        :returns: whether it was not cold, and is now.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> cold = dispatch.ColdEndpoints()
        >>> e1 = ("e1", 7)
        >>> cold.note(e1, dispatch.from_registration(3.0, 10.0), 10.0)
        True
        >>> cold.note(e1, dispatch.from_reply(2.0, 10.5), 10.5)
        False
        >>> cold.left_s(e1, 11.0), cold.left_s(e1, 12.5)
        (1.5, 0.0)
        """
        before = self._phases.get(endpoint)
        if before is None:
            if phase.until <= now:
                return False
            self._phases[endpoint] = phase
            return True
        after = merge(before, phase)
        self._phases[endpoint] = after
        return before.until <= now < after.until

    def note_failure(
        self, endpoint: fleet.Incarnation, cold_s: float, now: float
    ) -> None:
        """Record that a connection to an endpoint has failed.

        :param endpoint: the endpoint.
        :param cold_s: seconds for which it is cold after a start.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> cold = dispatch.ColdEndpoints()
        >>> cold.note_failure(("e1", 7), 3.0, 10.0)
        >>> registration = dispatch.from_registration(0.0, 11.0)
        >>> cold.note(("e1", 7), registration, 11.0)
        False
        >>> cold.left_s(("e1", 7), 11.0)
        2.0
        """
        phase = ColdPhase(now + cold_s, now, False)
        before = self._phases.get(endpoint)
        if before is not None:
            phase = dataclasses.replace(
                phase,
                until=max(phase.until, before.until),
                is_from_reply=before.is_from_reply,
            )
        self._phases[endpoint] = phase

    def begin_quiet(self, endpoint: fleet.Incarnation, now: float) -> None:
        """Record that an endpoint has become cold while it is in use.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> cold = dispatch.ColdEndpoints()
        >>> cold.begin_quiet(("e1", 7), 10.0)
        >>> cold.quiet_until(("e1", 7))
        11.0
        """
        self._quiet_until[endpoint] = now + QUIET_S

    def quiet_until(self, endpoint: fleet.Incarnation) -> float:
        """Return the local monotonic time before which nothing is sent.

        :param endpoint: the endpoint.
        :returns: seconds; minus infinity if there is no such time.
        """
        return self._quiet_until.get(endpoint, float("-inf"))

    def phase_of(self, endpoint: fleet.Incarnation) -> ColdPhase | None:
        """Return what is known of an endpoint; None if nothing.

        :param endpoint: the endpoint.
        """
        return self._phases.get(endpoint)

    def left_s(self, endpoint: fleet.Incarnation, now: float) -> float:
        """Return the seconds for which an endpoint stays cold.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        """
        phase = self._phases.get(endpoint)
        return max(phase.until - now, 0.0) if phase is not None else 0.0

    @property
    def has_any(self) -> bool:
        """Whether any endpoint is cold or was recently."""
        return bool(self._phases)

    def cold(self, now: float) -> frozenset[fleet.Incarnation]:
        """Return the endpoints that are cold.

        :param now: local monotonic time in seconds.
        """
        return frozenset(
            endpoint
            for endpoint, phase in self._phases.items()
            if now < phase.until
        )

    def recent(
        self, now: float
    ) -> collections.abc.Iterator[tuple[fleet.Incarnation, ColdPhase]]:
        """Yield the statements in replies that other nodes are to be told.

        :param now: local monotonic time in seconds.
        """
        for endpoint, phase in self._phases.items():
            if phase.is_from_reply and now - phase.stated_at < RECENT_S:
                yield endpoint, phase

    def drop_expired(self, now: float) -> None:
        """Drop what has ended and need not be told any more.

        :param now: local monotonic time in seconds.
        """
        for endpoint, phase in list(self._phases.items()):
            is_told = phase.is_from_reply and now - phase.stated_at < RECENT_S
            if now >= phase.until and not is_told:
                del self._phases[endpoint]
        for endpoint, until in list(self._quiet_until.items()):
            if now >= until:
                del self._quiet_until[endpoint]
