"""Tells apart the ways in which a request ends without a complete answer.

Explanation
===========

A caller sees a connection that is refused, a connection that closes without
a byte of the answer, or an answer that ends early. The runs of the engines
show whether the request was passed on, and how its last run ended. A request
that was not passed on may cross the close of its connection, but only within
:data:`UNREAD_LIMIT_S` of its last byte; after that, the gateway has had the
time to read and answer it. If the connection is reset even later, the gateway
has not read all of the request: it did not accept the connection, or stood
still. Such requests are counted apart. A pause of an engine excuses nothing.
"""

import collections
import collections.abc
import dataclasses
import enum

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import record
from wasabilanding.standins import registered_engine

UNREAD_LIMIT_S = 0.2
# A configuration may be in force at a gateway this long after the next one
# was sent.
CONFIGURATION_BOUND_S = 1.0
# An answer that ends at its time limit ends up to this much earlier, as the
# limit is measured from the arrival of the request.
LIMIT_SLACK_S = 0.05
LAST_GRACE_FRACTION = 5 / 6
LATE_REQUEST_S = 3.0
NO_TIMEOUT = (record.TimeoutChange(float("-inf"), launch.ROUTE_TIMEOUT_S),)


class Ending(enum.StrEnum):
    """How a request ended.

    REFUSED: no connection, as the gateway is down. UNREAD: the connection
    closed in time without a trace of the request. UNREAD_LATE: as UNREAD, but
    later, and reset. NOT_RUN: a complete answer says that the request did not
    run. DROPPED: read, never passed on, and closed without an answer.
    UNANSWERED: passed on, and closed without an answer by a gateway that was
    not killed. CUT: passed on, or an answer had begun, and the rest is
    missing. The other
    values excuse such an end.
    """

    COMPLETE = "complete"
    NOT_RUN = "not run"
    REFUSED = "connection refused"
    UNREAD = "closed unread"
    UNREAD_LATE = "reset unread late"
    DROPPED = "dropped"
    UNANSWERED = "unanswered"
    CUT = "cut"
    TIMED_OUT = "time limit"
    BROKE_OFF = "engine broke off"
    GRACE_OVER = "end of grace"


# Violations also beside faults.
STRICT_VIOLATIONS = (Ending.UNANSWERED,)
VIOLATIONS = (Ending.DROPPED, Ending.CUT, *STRICT_VIOLATIONS)


@dataclasses.dataclass(frozen=True)
class Excuses:
    """Facts that excuse a cut answer.

    :param terminations: monotonic times in seconds of the SIGTERMs, by
        gateway.
    :param timeouts: timeouts of the routes in the order in which they were
        sent to the store.
    :param grace_s: shutdown grace of the gateways in seconds.
    :param killed: engines that were killed. One that breaks off for another
        reason does so by an order of a gateway.
    :param gateway_kills: monotonic times in seconds at which gateways were
        killed, by gateway.
    """

    terminations: collections.abc.Mapping[
        str, collections.abc.Sequence[float]
    ] = dataclasses.field(default_factory=dict)
    timeouts: tuple[record.TimeoutChange, ...] = NO_TIMEOUT
    grace_s: float = launch.SHUTDOWN_GRACE_S
    killed: frozenset[str] = frozenset()
    gateway_kills: collections.abc.Mapping[
        str, collections.abc.Sequence[float]
    ] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Unfinished:
    """A request without a complete answer.

    :param request_id: its id.
    :param ending: how it ended.
    :param gateway: gateway that it was sent to.
    :param status: status of the answer, or 0.
    :param elapsed_s: seconds from its start to its end.
    :param silent_s: seconds without a part of the answer before the end.
    :param slow_reader: whether its caller paused while it read.
    :param run_ends: how its runs at engines ended, in order.
    :param ended_at: time of day in seconds at which it ended.
    """

    request_id: str
    ending: Ending
    gateway: str
    status: int
    elapsed_s: float
    silent_s: float
    slow_reader: bool
    run_ends: tuple[str, ...]
    ended_at: float

    def __str__(self) -> str:
        return (
            f"{self.request_id}: {self.ending.value} at {self.gateway}, "
            f"status {self.status}, after {self.elapsed_s:.2f} s, silent for "
            f"{self.silent_s:.2f} s, runs {self.run_ends}"
        )


class Sorter:
    """Determines how requests ended.

    :param runs: requests that the engines ran.
    :param excuses: facts that excuse a cut answer.
    """

    def __init__(
        self, runs: collections.abc.Iterable[dict], excuses: Excuses
    ) -> None:
        self._excuses = excuses
        self._runs: dict[str, list[dict]] = collections.defaultdict(list)
        for run in sorted(runs, key=lambda run: run["begun_at"]):
            self._runs[run["request_id"]].append(run)

    def ending(self, answer: load.Answer) -> Ending:
        """Return how a request ended.

        :param answer: the answer or failure that its caller got.
        """
        if answer.complete:
            refused = answer.status in load.NOT_RUN_STATUSES
            return Ending.NOT_RUN if refused else Ending.COMPLETE
        if not answer.was_sent:
            return Ending.REFUSED
        if self._timed_out(answer):
            return Ending.TIMED_OUT
        if not answer.status and not self._was_passed_on(answer):
            return _ending_without_trace(answer)
        if self._engine_broke_off(answer):
            return Ending.BROKE_OFF
        if self._grace_was_over(answer):
            return Ending.GRACE_OVER
        if not answer.status and not self._was_gateway_killed(answer):
            return Ending.UNANSWERED
        return Ending.CUT

    def unfinished(self, answer: load.Answer) -> Unfinished:
        """Return what a caller saw of a request without a complete answer.

        :param answer: the failure that the caller got.
        """
        last_at = answer.last_part_at or answer.sent_at
        request = answer.request
        return Unfinished(
            request.request_id,
            self.ending(answer),
            answer.gateway,
            answer.status,
            answer.ended_at - answer.sent_at,
            answer.ended_at - last_at,
            request.padding_bytes > 0,
            tuple(run["end"] for run in self._runs_of(answer)),
            answer.ended_time_of_day,
        )

    def _was_passed_on(self, answer: load.Answer) -> bool:
        return bool(self._runs_of(answer))

    def _runs_of(self, answer: load.Answer) -> list[dict]:
        return self._runs.get(answer.request.request_id, [])

    def _timed_out(self, answer: load.Answer) -> bool:
        elapsed_s = answer.ended_at - answer.sent_at
        limits = [load.REQUEST_TIMEOUT_S, *self._timeouts_in_force(answer)]
        return elapsed_s >= min(limits) - LIMIT_SLACK_S

    def _timeouts_in_force(
        self, answer: load.Answer
    ) -> collections.abc.Iterator[float]:
        """Yield the timeouts that may apply to a request when it is read."""
        written_at = answer.written_at or answer.sent_at
        timeouts = self._excuses.timeouts
        for number, change in enumerate(timeouts):
            following = timeouts[number + 1 : number + 2]
            ends_at = float("inf")
            if following:
                ends_at = following[0].sent_at + CONFIGURATION_BOUND_S
            begins_at = change.sent_at - UNREAD_LIMIT_S
            if begins_at <= written_at and answer.sent_at <= ends_at:
                yield change.timeout_s

    def _engine_broke_off(self, answer: load.Answer) -> bool:
        return any(
            run["end"] == registered_engine.RunEnd.BROKE_OFF
            and run["endpoint"] in self._excuses.killed
            for run in self._runs_of(answer)[-1:]
        )

    def _was_gateway_killed(self, answer: load.Answer) -> bool:
        kills = self._excuses.gateway_kills.get(answer.gateway, ())
        return any(answer.sent_at <= at <= answer.ended_at for at in kills)

    def _grace_was_over(self, answer: load.Answer) -> bool:
        grace_s = self._excuses.grace_s
        return any(
            answer.sent_at <= at + LATE_REQUEST_S
            and at + grace_s * LAST_GRACE_FRACTION <= answer.ended_at
            and answer.ended_at <= at + grace_s + 1.0
            for at in self._excuses.terminations.get(answer.gateway, ())
        )


def _ending_without_trace(answer: load.Answer) -> Ending:
    written_at = answer.written_at
    if written_at is None:
        return Ending.UNREAD
    if answer.ended_at - written_at <= UNREAD_LIMIT_S:
        return Ending.UNREAD
    return Ending.UNREAD_LATE if answer.was_reset else Ending.DROPPED
