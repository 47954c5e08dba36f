"""Callers that close their connections before their answers are complete.

Explanation
===========

Callers send one request each on connections that have carried an answer
before, and every second one of them closes its connection; the others wait
for their answers. Gateways that do not run in between find request and close
together. The arrivals and runs at the engines show what is done for callers
that have left.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import signal

import h11
import trio

from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.experiments.installation import kept_connection
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.standins import registered_engine

PLAN = launch.Plan(("prov",), fabrics_per_domain=1, pages_per_domain=3)
WORK_S = 2.5
EVENT_S = 0.05
EVENTS = int(WORK_S / EVENT_S)
BEHAVIOUR = {"work_s": WORK_S, "event_s": EVENT_S, "slots": 400}
# From the close on, after which work for a caller that has left counts.
LATE_S = 0.5
# Between a request and the close of its connection.
STAYS_S = 0.8
# For which gateways stand still after the last close.
HALT_S = 1.0
EMPTY_LINE = b"\r\n"
HALF_HEAD = b"POST /pages/half HTTP/1.1\r\nHost:"
OPENED_AT_ONCE = 32
# Within which a gateway sends what has waited behind a request.
BEHIND_S = 0.5
# A gateway relays once connections to endpoints have failed for this time.
CUT_NOTICED_S = 2.0


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller with an open connection.

    :param connection: its connection.
    :param request: what it sends.
    :param leaves: whether it closes the connection early.
    """

    connection: kept_connection.KeptConnection
    request: load.Request
    leaves: bool


class Callers:
    """Callers of one kind of request.

    :param installation: running installation.
    :param count: number of callers.
    :param kind: "pages" (safe), "sheets" (unsafe) or "drafts" (streams).
    :param gateways: gateways that they call.
    """

    def __init__(
        self,
        installation: launch.Installation,
        count: int,
        kind: str,
        gateways: collections.abc.Sequence[launch.Gateway],
    ) -> None:
        self._installation = installation
        self._kind = kind
        self._gateways = gateways
        self._count = count
        self._numbers = itertools.count()
        self._opening = trio.CapacityLimiter(OPENED_AT_ONCE)
        self._callers: list[Caller] = []
        self._sent_behind: set[str] = set()
        self.answers: list[load.Answer] = []
        # Requests of callers that have left and were at work LATE_S later.
        self.at_work: set[str] = set()

    @property
    def left(self) -> set[str]:
        """Identifiers of the requests whose callers leave."""
        return {c.request.request_id for c in self._callers if c.leaves}

    @property
    def unanswered(self) -> list[load.Answer]:
        """Answers that callers that stay did not get whole."""
        return [a for a in self.answers if a.status != 200 or not a.complete]

    def arrived(self, request_ids: collections.abc.Set[str]) -> set[str]:
        """Return those of some requests that have reached an engine.

        :param request_ids: identifiers of the requests.
        """
        arrivals = self._installation.arrivals()
        return request_ids & {found["request_id"] for found in arrivals}

    @property
    def arrived_behind(self) -> set[str]:
        """Requests behind others of callers that left, that arrived."""
        return self.arrived(self._sent_behind)

    async def open(self) -> None:
        """Open the connections; let each carry one request.

        :raises RuntimeError: if a request is not answered.
        """
        async with trio.open_nursery() as nursery:
            for number in range(self._count):
                nursery.start_soon(self._open_one, number)

    async def _open_one(self, number: int) -> None:
        gateway = self._gateways[number % len(self._gateways)]
        async with self._opening:
            connection = await kept_connection.connect(gateway)
        answer = await connection.send(self._next_request())
        if answer.status != 200 or not answer.complete:
            raise RuntimeError(f"first request not answered: {answer}")
        leaves = number // len(self._gateways) % 2 == 0
        self._callers.append(Caller(connection, self._next_request(), leaves))

    def _next_request(self) -> load.Request:
        request_id = f"{self._kind}-{next(self._numbers)}"
        if self._kind == "drafts":
            return load.Request(
                request_id, self._kind, model="small", events=EVENTS
            )
        return load.Request(request_id, self._kind)

    async def close_while_halted(
        self, gateways: collections.abc.Sequence[launch.Gateway]
    ) -> None:
        """Send requests and close connections while gateways stand still.

        :param gateways: the gateways.
        """
        async with trio.open_nursery() as nursery:
            with _halted(gateways):
                for caller in self._callers:
                    nursery.start_soon(self._send, caller)
                await trio.sleep(STAYS_S + HALT_S)

    async def close_behind(self, what: str, is_reset: bool) -> None:
        """Send bytes behind the requests, and close connections later.

        :param what: "nothing", "an empty line", "half a head" or "a request".
        :param is_reset: whether connections are reset.
        """
        async with trio.open_nursery() as nursery:
            for caller in self._callers:
                behind = self._behind(what, caller)
                nursery.start_soon(self._send, caller, behind, is_reset)
            await trio.sleep(STAYS_S + LATE_S)
            runs = await trio.to_thread.run_sync(self._installation.runs)
        # What waits behind the answered requests is sent by now.
        await trio.sleep(BEHIND_S)
        running = registered_engine.RunEnd.RUNNING
        self.at_work = self.left & {
            run["request_id"] for run in runs if run["end"] == running
        }

    def _behind(self, what: str, caller: Caller) -> bytes:
        if what == "a request":
            request = self._next_request()
            if caller.leaves:
                self._sent_behind.add(request.request_id)
            return kept_connection.encode(h11.Connection(h11.CLIENT), request)
        texts = {"an empty line": EMPTY_LINE, "half a head": HALF_HEAD}
        return texts.get(what, b"")

    async def _send(
        self, caller: Caller, behind: bytes = b"", is_reset: bool = False
    ) -> None:
        connection = caller.connection
        if not caller.leaves:
            now = trio.current_time()
            answer = await connection.send_at(now, caller.request, behind)
            self.answers.append(answer)
            return
        await connection.send_only(caller.request, behind)
        await trio.sleep(STAYS_S)
        if is_reset:
            connection.reset()
        else:
            await connection.aclose()


@contextlib.contextmanager
def _halted(
    gateways: collections.abc.Iterable[launch.Gateway],
) -> collections.abc.Iterator[None]:
    """Let gateways stand still until the end of the block."""
    for gateway in gateways:
        gateway.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for gateway in gateways:
            gateway.process.send_signal(signal.SIGCONT)


async def cut_off(
    installation: launch.Installation, gateway: launch.Gateway
) -> None:
    """Cut a gateway off from the endpoints, so that others serve for it.

    :param installation: installation whose gateways can be cut.
    :param gateway: the gateway.
    """
    installation.cut(gateway, cut_gateway.RESET)
    await trio.sleep(CUT_NOTICED_S)
