"""Requests that arrive as the gateway closes their idle connections.

Explanation
===========

Callers keep connections and send the next request at about the time at which
the gateway closes them. The arrivals at the engines show which requests were
forwarded. A request that was forwarded must be answered; one that was not may
find its connection closed. All callers act in rounds, so that a change of the
idle timeout, a SIGTERM or a halt of the gateways affects all connections of a
round in the same way.
"""

import collections
import collections.abc
import dataclasses
import enum
import random
import signal
import time

import httpx
import trio

from wasabilanding.experiments.installation import kept_connection
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import sending
from wasabilanding.gateway import node

PLAN = launch.Plan(("prov",), fabrics_per_domain=0, pages_per_domain=3)
BEHAVIOUR = {"work_s": 0.03, "slots": 200}
HTTP_OK = 200
IDLE_TIMEOUT_S = 1.0
# Longer than any round, so that idle connections close for other reasons.
LONG_TIMEOUT_S = 30.0
# Gateways may close a connection this much after its idle timeout.
CLOSE_MARGIN_S = 0.5
# Requests are sent from so much before a time until so much after it. A caller
# receives an answer a few milliseconds after the gateway counts it as sent.
SPREAD_S = (-0.004, 0.008)
# Idle connections close later than at the end of the notice by the time that
# the signal handler and the release of the replicas take.
STOP_SPREAD_S = (-0.01, 0.09)
# On a busy machine a gateway reads all requests of that time before it closes.
LATE_STOP_SPREAD_S = (0.09, 1.0)
# First requests at a time, so that none is rejected for lack of time.
OPENED_AT_ONCE = 32
CONTROL_FRACTION = 0.8
STEP_S = 0.2
CHANGE_AFTER_S = 0.3
STOP_AFTER_S = 0.1
HALT_FRACTION = 0.2
# Gateways go by an earlier idle timeout for this time after it was lowered.
SETTLING_S = 1.0
# A gateway applies a configuration within this time.
CONFIGURATION_BOUND_S = 2.0
CONTROL = "four fifths"
KINDS = ("pages", "sheets")


class Outcome(enum.StrEnum):
    """What became of a request.

    UNREAD: its connection closed, and it was not forwarded. LOST: it was
    forwarded, and its connection closed or kept silent without a complete
    answer. SILENT: neither an answer nor the end of the connection came.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    UNREAD = "closed, not forwarded"
    LOST = "forwarded, not answered"
    SILENT = "not answered, not closed"


FAULTS = (Outcome.LOST, Outcome.SILENT)


@dataclasses.dataclass(frozen=True)
class Aim:
    """Time at which requests are sent.

    :param name: what is expected to happen then.
    :param after_s: seconds after the last answer on the connection, or after
        the SIGTERM.
    :param spread_s: bounds in seconds of a random time that is added.
    """

    name: str
    after_s: float
    spread_s: tuple[float, float] = SPREAD_S


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request that was sent on a kept connection.

    :param aim: time for which it was meant.
    :param idle_s: seconds for which its connection had been idle. It exceeds
        the aim when the callers' process runs late.
    :param answer: the answer or failure that its caller got.
    """

    aim: Aim
    idle_s: float
    answer: load.Answer


STOP_AIMS = [
    Aim("end of the notice", node.SHUTDOWN_NOTICE_S, spread_s)
    for spread_s in (*[STOP_SPREAD_S] * 3, LATE_STOP_SPREAD_S)
]


class Callers:
    """Callers that keep connections to all gateways.

    :param installation: running installation.
    :param count: number of callers.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        installation: launch.Installation,
        count: int,
        rng: random.Random,
    ) -> None:
        self._installation = installation
        self._count = count
        self._rng = rng
        self._number = 0
        self._version = 1
        self._opening = trio.CapacityLimiter(OPENED_AT_ONCE)
        self._connections: list[kept_connection.KeptConnection] = []
        self.sent: list[Sent] = []

    @property
    def gateways(self) -> list[launch.Gateway]:
        """All gateways."""
        return self._installation.gateways

    async def configure(self, idle_timeout_s: float) -> None:
        """Store a configuration with another idle timeout.

        :param idle_timeout_s: idle timeout in seconds.
        :raises httpx.HTTPError: if the platform does not confirm it.
        """
        self._version += 1
        table = launch.routing_table(
            self._version, ("key-1",), idle_timeout_s=idle_timeout_s
        )
        await trio.to_thread.run_sync(self._installation.configure, table)

    def restart(self) -> None:
        """Start all gateways again once they have exited.

        :raises TimeoutError: if one is not ready in time.
        """
        for gateway in self.gateways:
            gateway.process.wait(launch.SHUTDOWN_GRACE_S)
            self._installation.restart(gateway)
        wait_until_ready(self._installation)

    def outcomes(self) -> dict[str, collections.Counter[Outcome]]:
        """Return the numbers of requests by the name of their aim."""
        forwarded = {
            arrival["request_id"] for arrival in self._installation.arrivals()
        }
        found: dict[str, collections.Counter[Outcome]] = {}
        for sent in self.sent:
            counts = found.setdefault(sent.aim.name, collections.Counter())
            is_forwarded = sent.answer.request.request_id in forwarded
            counts[_outcome(sent.answer, is_forwarded)] += 1
        return found

    async def open(self) -> float:
        """Open connections that have carried one answered request each.

        :returns: local monotonic time in seconds of the last answer.
        :raises RuntimeError: if a request is not answered.
        """
        for connection in self._connections:
            await connection.aclose()
        self._connections = []
        async with trio.open_nursery() as nursery:
            for number in range(self._count):
                nursery.start_soon(self._open_one, number)
        return max(c.answered_at for c in self._connections)

    async def _open_one(self, number: int) -> kept_connection.KeptConnection:
        gateway = self.gateways[number % len(self.gateways)]
        async with self._opening:
            connection = await kept_connection.connect(gateway)
            answer = await connection.send(self._next_request())
        self._connections.append(connection)
        if answer.status != HTTP_OK or not answer.complete:
            raise RuntimeError(f"first request not answered: {answer}")
        return connection

    async def open_and_send(self, aims: collections.abc.Sequence[Aim]) -> None:
        """Open connections and send the next request on each in its time.

        No connection waits for the first answer on another one.

        :param aims: times, which the connections take in turn.
        :raises RuntimeError: if a first request is not answered.
        """

        async def run(number: int) -> None:
            connection = await self._open_one(number)
            await self._send_one(connection, self._aim(number, aims), None)
            await connection.aclose()

        async with trio.open_nursery() as nursery:
            for number in range(self._count):
                nursery.start_soon(run, number)
        self._connections = []

    async def send(
        self,
        aims: collections.abc.Sequence[Aim],
        since: float | None = None,
    ) -> None:
        """Send a request on each connection and wait for all answers.

        :param aims: times, which the connections take in turn.
        :param since: local monotonic time in seconds from which these count;
            None for the last answer on each connection.
        """
        async with trio.open_nursery() as nursery:
            for number, connection in enumerate(self._connections):
                aim = self._aim(number, aims)
                nursery.start_soon(self._send_one, connection, aim, since)

    def _aim(self, number: int, aims: collections.abc.Sequence[Aim]) -> Aim:
        # Consecutive connections lead to different gateways.
        return aims[number // len(self.gateways) % len(aims)]

    async def _send_one(
        self,
        connection: kept_connection.KeptConnection,
        aim: Aim,
        since: float | None,
    ) -> None:
        idle_since = connection.answered_at
        at = idle_since if since is None else since
        at += aim.after_s + self._rng.uniform(*aim.spread_s)
        answer = await connection.send_at(at, self._next_request())
        self.sent.append(Sent(aim, answer.sent_at - idle_since, answer))

    def _next_request(self) -> load.Request:
        self._number += 1
        kind = KINDS[self._number % len(KINDS)]
        return load.Request(f"{kind}-{self._number}", kind)


def _outcome(answer: load.Answer, is_forwarded: bool) -> Outcome:
    if answer.complete:
        is_success = answer.status == HTTP_OK
        return Outcome.ANSWERED if is_success else Outcome.REJECTED
    if is_forwarded:
        return Outcome.LOST
    waited_s = answer.ended_at - answer.sent_at
    is_silent = waited_s > load.REQUEST_TIMEOUT_S
    return Outcome.SILENT if is_silent else Outcome.UNREAD


def describe(
    outcomes: collections.abc.Mapping[str, collections.Counter[Outcome]],
) -> str:
    """Return the numbers of requests as lines of text.

    :param outcomes: the numbers, by the name of their aim.
    """
    return "\n".join(
        f"{name}: " + ", ".join(f"{key} {n}" for key, n in counts.items())
        for name, counts in outcomes.items()
    )


def wait_until_ready(installation: launch.Installation) -> None:
    """Wait until each gateway forwards requests to the engines.

    :param installation: running installation.
    :raises TimeoutError: if one does not in time.
    """
    ends_at = time.monotonic() + launch.START_TIMEOUT_S
    for gateway in installation.gateways:
        while not _forwards(gateway):
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{gateway.name} is not ready")
            time.sleep(launch.POLL_S)


def _forwards(gateway: launch.Gateway) -> bool:
    probe = load.Request(f"probe-{time.monotonic_ns()}", "pages")
    try:
        answer = httpx.post(
            f"{gateway.callers_url}{probe.path}",
            headers=sending.headers_of(probe),
        )
    except httpx.HTTPError:
        return False
    return answer.is_success


def aims_of(*timeouts_s: float) -> list[Aim]:
    """Return the times at which connections with idle timeouts may close.

    :param timeouts_s: idle timeouts in seconds.
    """
    return [
        Aim(f"{timeout_s:g} s{name}", timeout_s + margin_s)
        for timeout_s in timeouts_s
        for name, margin_s in (("", 0.0), (" and margin", CLOSE_MARGIN_S))
    ]


def control_aim(timeout_s: float) -> Aim:
    """Return a time at which a connection must still be open.

    :param timeout_s: idle timeout in seconds that its caller knows.
    """
    return Aim(CONTROL, CONTROL_FRACTION * timeout_s)


async def expire(callers: Callers, rounds: int) -> None:
    """Let the idle timeout expire.

    :param callers: the callers.
    :param rounds: how often.
    """
    await _set_timeout(callers, IDLE_TIMEOUT_S)
    aims = [control_aim(IDLE_TIMEOUT_S), *aims_of(IDLE_TIMEOUT_S)]
    for _ in range(rounds):
        await callers.open_and_send(aims)


async def raise_timeout(callers: Callers, rounds: int) -> None:
    """Raise the idle timeout while the connections are idle.

    :param callers: the callers.
    :param rounds: how often.
    """
    await _change_timeouts(
        callers, [IDLE_TIMEOUT_S + STEP_S * i for i in range(rounds + 1)]
    )


async def lower_timeout(callers: Callers, rounds: int) -> None:
    """Lower the idle timeout while the connections are idle.

    :param callers: the callers.
    :param rounds: how often.
    """
    await _change_timeouts(
        callers, [IDLE_TIMEOUT_S + STEP_S * i for i in range(rounds, -1, -1)]
    )


async def terminate(callers: Callers, rounds: int) -> None:
    """Terminate all gateways, and start them again.

    :param callers: the callers.
    :param rounds: how often.
    """
    await _set_timeout(callers, LONG_TIMEOUT_S)
    for number in range(rounds):
        if number:
            await trio.to_thread.run_sync(callers.restart)
        await callers.open()
        await trio.sleep(STOP_AFTER_S)
        now = trio.current_time()
        for gateway in callers.gateways:
            gateway.process.terminate()
        await callers.send(STOP_AIMS, now)


async def halt(callers: Callers, rounds: int) -> None:
    """Let the processes of all gateways stand still as connections close.

    :param callers: the callers.
    :param rounds: how often.
    """
    await _set_timeout(callers, IDLE_TIMEOUT_S)
    halt_s = HALT_FRACTION * IDLE_TIMEOUT_S
    aims = aims_of(IDLE_TIMEOUT_S)
    for number in range(rounds):
        aim = aims[number % len(aims)]
        spread_s = -halt_s / 2, halt_s / 2
        begun_at = await callers.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _stand_still,
                callers,
                begun_at + aim.after_s - halt_s / 2,
                halt_s,
            )
            await callers.send([dataclasses.replace(aim, spread_s=spread_s)])


async def _set_timeout(callers: Callers, timeout_s: float) -> None:
    await callers.configure(timeout_s)
    await trio.sleep(CONFIGURATION_BOUND_S + SETTLING_S)


async def _change_timeouts(
    callers: Callers, timeouts_s: collections.abc.Sequence[float]
) -> None:
    await _set_timeout(callers, timeouts_s[0])
    for before_s, after_s in zip(timeouts_s, timeouts_s[1:]):
        aims = [
            control_aim(min(before_s, after_s)),
            *aims_of(before_s, after_s),
        ]
        await callers.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send, aims)
            await trio.sleep(CHANGE_AFTER_S)
            await callers.configure(after_s)


async def _stand_still(callers: Callers, at: float, seconds: float) -> None:
    await trio.sleep_until(at)
    for gateway in callers.gateways:
        gateway.process.send_signal(signal.SIGSTOP)
    await trio.sleep(seconds)
    for gateway in callers.gateways:
        gateway.process.send_signal(signal.SIGCONT)


EVENTS = {
    "the idle timeout expires": expire,
    "the operator raises the timeout": raise_timeout,
    "the operator lowers the timeout": lower_timeout,
    "the gateways receive SIGTERM": terminate,
    "the gateways stand still": halt,
}
