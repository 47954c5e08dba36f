"""Endpoints that have asked to receive nothing for a time.

Explanation
===========

A busy endpoint may refuse a request and state for how long it wants no other.
Until then the endpoint is *held*: nothing is sent to it, and its slots count
as absent. Afterwards it is *returning*: a single request is sent, and the
number of requests that may wait for a reply grows by one with each that the
endpoint accepts, so that it doubles in the time of one reply. So neither the
queue of a node nor all nodes reach it at once.

A request takes a :class:`Ticket` before it is sent. The ticket says whether
the request was admitted before or after the latest hold, as replies to older
requests tell nothing about the endpoint after the hold.

An endpoint that starts again knows nothing of the hold, which ends with its
previous start. A hold that was asked for shortly before the next start was
seen stays in force: requests reach the next start before its registration is
seen, so that this start may be the one that asked.
"""

import collections.abc
import dataclasses

# Requests that may wait for a reply after which an endpoint has returned.
RETURNED_WINDOW = 16
# A returning endpoint that receives no request is treated normally after this.
UNUSED_TTL_S = 30.0
NO_HOLD = 0
# Longest time until the registration of a start is seen, with a margin.
UNSEEN_START_S = 5.0


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Admission of one request to an endpoint.

    :param endpoint_id: identity of the endpoint.
    :param hold: number of the endpoint's latest hold; :data:`NO_HOLD` if
        it had none.
    """

    endpoint_id: str
    hold: int


@dataclasses.dataclass
class _Hold:
    """State of a held or returning endpoint.

    :param number: number of the hold.
    :param until: local monotonic time in seconds at which the hold ends.
    :param started_at_ms: Unix time in milliseconds of the endpoint's start.
    :param asked_at: local monotonic time in seconds at which the endpoint
        last asked for it.
    :param window: requests that may wait for a reply after the hold.
    :param unanswered: requests that wait for a reply.
    """

    number: int
    until: float
    started_at_ms: int
    asked_at: float
    window: int = 1
    unanswered: int = 0

    def may_send(self, now: float) -> bool:
        """Tell whether one more request may be sent.

        :param now: local monotonic time in seconds.
        """
        return now >= self.until and self.unanswered < self.window


class EndpointHolds:
    """Held and returning endpoints of one node, by identity."""

    def __init__(self) -> None:
        self._holds: dict[str, _Hold] = {}
        self._last_number = NO_HOLD

    def hold(
        self,
        endpoint_id: str,
        now: float,
        for_s: float,
        started_at_ms: int = 0,
    ) -> bool:
        """Send nothing to an endpoint for a time; never shorten a hold.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        :param for_s: duration in seconds.
        :param started_at_ms: Unix time in milliseconds of its start, as far as
            it is known.
        :returns: whether it was not held before.
        """
        until = now + for_s
        before = self._holds.get(endpoint_id)
        is_new = before is None or now >= before.until
        if before is not None:
            until = max(until, before.until)
        self._last_number += 1
        self._holds[endpoint_id] = _Hold(
            self._last_number, until, started_at_ms, now
        )
        return is_new

    def closed(self, now: float) -> frozenset[str]:
        """Return the endpoints to which no request may be sent now.

        :param now: local monotonic time in seconds.
        """
        return frozenset(
            name
            for name, hold in self._holds.items()
            if not hold.may_send(now)
        )

    def admit(self, endpoint_id: str, now: float) -> Ticket | None:
        """Count a request that is about to be sent to an endpoint.

        :param endpoint_id: its identity.
        :param now: local monotonic time in seconds.
        :returns: its ticket, to be settled once; None if it may not be sent.
        """
        hold = self._holds.get(endpoint_id)
        if hold is None:
            return Ticket(endpoint_id, NO_HOLD)
        if not hold.may_send(now):
            return None
        hold.unanswered += 1
        return Ticket(endpoint_id, hold.number)

    def is_valid(self, ticket: Ticket) -> bool:
        """Tell whether an admitted request may still be sent.

        :param ticket: its ticket.
        """
        hold = self._holds.get(ticket.endpoint_id)
        return hold is None or hold.number == ticket.hold

    def settle(self, ticket: Ticket, is_accepted: bool | None) -> None:
        """Record the reply to an admitted request.

        :param ticket: its ticket.
        :param is_accepted: whether the endpoint accepted the request; None if
            there was no reply.
        """
        hold = self._holds.get(ticket.endpoint_id)
        if hold is None or hold.number != ticket.hold:
            return
        hold.unanswered -= 1
        if is_accepted is None:
            return
        hold.window = hold.window + 1 if is_accepted else 1
        if hold.window > RETURNED_WINDOW:
            del self._holds[ticket.endpoint_id]

    def held(self, now: float) -> frozenset[str]:
        """Return the held endpoints.

        :param now: local monotonic time in seconds.
        """
        return frozenset(
            name for name, hold in self._holds.items() if now < hold.until
        )

    def returning(self, now: float) -> frozenset[str]:
        """Return the returning endpoints.

        :param now: local monotonic time in seconds.
        """
        return frozenset(
            name for name, hold in self._holds.items() if now >= hold.until
        )

    def wait_s(
        self, endpoint_ids: collections.abc.Collection[str], now: float
    ) -> float | None:
        """Return the time until the first of some endpoints returns.

        :param endpoint_ids: identities of endpoints.
        :param now: local monotonic time in seconds.
        :returns: seconds, 0 if one is returning; None if not all are held.
        """
        found = [self._holds.get(name) for name in endpoint_ids]
        if not found or None in found:
            return None
        return min(max(hold.until - now, 0.0) for hold in found)

    def end_with_starts(
        self,
        start_of: collections.abc.Callable[[str], int | None],
        now: float,
    ) -> None:
        """End the holds of endpoints that have started again.

        :param start_of: returns the Unix time in milliseconds of the start of
            a registered endpoint; None if it is not registered.
        :param now: local monotonic time in seconds.
        """
        for name, hold in list(self._holds.items()):
            started_at_ms = start_of(name)
            if started_at_ms is None or started_at_ms == hold.started_at_ms:
                continue
            if now - hold.asked_at < UNSEEN_START_S:
                hold.started_at_ms = started_at_ms
            else:
                del self._holds[name]

    def drop_expired(self, now: float) -> None:
        """Drop returning endpoints that receive no requests.

        :param now: local monotonic time in seconds.
        """
        unused = [
            name
            for name, hold in self._holds.items()
            if not hold.unanswered and now - hold.until > UNUSED_TTL_S
        ]
        for name in unused:
            del self._holds[name]
