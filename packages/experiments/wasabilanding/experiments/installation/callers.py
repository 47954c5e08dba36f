"""Callers of the soak test."""

import collections.abc
import random
import socket

import httpx
import trio

from wasabilanding.experiments.installation import kept_connection
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import options as options_module
from wasabilanding.experiments.installation import sending

PAUSE_RANGE_S = (0.0, 0.25)
READING_PAUSE_RANGE_S = (1.0, 2.5)
# With a small receive buffer and large events, a reading pause is seen by the
# gateway.
SLOW_RECEIVE_BYTES = 4096
SLOW_PADDING_BYTES = 4096
IDLE_CALLERS = 24
# Times of the next request, as a share of the idle timeout and a number of
# seconds that is added: gateways may close at the timeout or 0.5 s later.
IDLE_TIMES = ((0.8, 0.0), (1.0, 0.0), (1.0, 0.5))
IDLE_SPREAD_S = (-0.004, 0.008)


class Callers:
    """Callers that send requests to random gateways.

    :param installation: running installation.
    :param rng: source of randomness.
    :param options: number of callers and size of their requests.
    :param keys: API keys to use.
    :param idle_timeout_s: returns the idle timeout in seconds that callers
        know.
    """

    def __init__(
        self,
        installation: launch.Installation,
        rng: random.Random,
        options: options_module.Options,
        keys: tuple[str, ...],
        idle_timeout_s: collections.abc.Callable[[], float] = lambda: (
            launch.DEFAULT_LIMITS.idle_timeout_s
        ),
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._installation = installation
        self._rng = rng
        self._options = options
        self._keys = keys
        self._count = 0
        self._is_finished = False
        self.answers: list[load.Answer] = []

    def start(self, nursery: trio.Nursery) -> None:
        """Start the callers.

        :param nursery: runs the callers.
        """
        for number in range(self._options.callers):
            slow = number < self._options.slow_callers
            nursery.start_soon(self._send_requests, slow)
        if self._options.idle:
            for _ in range(IDLE_CALLERS):
                nursery.start_soon(self._keep_connections)

    def finish(self) -> None:
        """Let each caller end after its current request."""
        self._is_finished = True

    async def _send_requests(self, slow: bool) -> None:
        """Send requests to random gateways on keep-alive connections."""
        async with _open_client(slow) as client:
            while not self._is_finished:
                gateway = self._rng.choice(self._installation.gateways)
                request = self._next_request(slow)
                pause_s = 0.0
                if slow:
                    pause_s = self._rng.uniform(*READING_PAUSE_RANGE_S)
                answer = await sending.send(client, gateway, request, pause_s)
                self.answers.append(answer)
                await trio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _keep_connections(self) -> None:
        """Use one connection after the other until it is closed."""
        while not self._is_finished:
            gateway = self._rng.choice(self._installation.gateways)
            try:
                connection = await kept_connection.connect(gateway)
            except OSError:
                # The gateway is down.
                await trio.sleep(max(PAUSE_RANGE_S))
                continue
            await self._use(connection)
            await connection.aclose()

    async def _use(self, connection: kept_connection.KeptConnection) -> None:
        """Send requests when the connection is about to be closed."""
        due_at = trio.current_time()
        while not self._is_finished and connection.is_usable:
            answer = await connection.send_at(
                due_at, self._next_request(False)
            )
            self.answers.append(answer)
            share, added_s = self._rng.choice(IDLE_TIMES)
            due_at = connection.answered_at + share * self._idle_timeout_s()
            due_at += added_s + self._rng.uniform(*IDLE_SPREAD_S)
            await trio.sleep_until(due_at + 2 * min(IDLE_SPREAD_S))

    def _next_request(self, slow: bool) -> load.Request:
        self._count += 1
        return load.random_request(
            self._rng,
            self._count,
            self._rng.choice(self._keys),
            self._options.max_events,
            SLOW_PADDING_BYTES if slow else 0,
        )


def _open_client(slow: bool) -> httpx.AsyncClient:
    # Loading the certificates, which are not needed, takes long.
    small_buffer = (socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
    transport = httpx.AsyncHTTPTransport(
        verify=False, socket_options=[small_buffer] if slow else None
    )
    return httpx.AsyncClient(transport=transport)
