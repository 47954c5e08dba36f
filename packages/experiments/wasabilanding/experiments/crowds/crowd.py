"""A crowd of clients at one address."""

import collections.abc
import contextlib
import itertools

import trio

from wasabilanding.experiments.crowds import clients

# Connections that are being opened at the same time.
OPENED_AT_ONCE = 64
OPEN_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Crowd:
    """Clients that connect at once and stay until the end of a block.

    :param kind: what each of them does.
    :param count: number of clients.
    :param host: address that they connect to.
    :param port: its port.
    :param start_of: returns the start of the request of a client: request
        line and header lines, without the last line break.
    """

    def __init__(
        self,
        kind: clients.Client,
        count: int,
        host: str,
        port: int,
        start_of: collections.abc.Callable[[int], bytes],
    ) -> None:
        self._kind = kind
        self._count = count
        self._address = host, port
        self._start_of = start_of
        self._opening = trio.CapacityLimiter(OPENED_AT_ONCE)
        self._numbers = itertools.count()
        self.opened = 0

    async def _run_client(self) -> None:
        with contextlib.suppress(*OPEN_ERRORS):
            async with self._opening:
                stream = await trio.open_tcp_stream(*self._address)
            async with stream:
                self.opened += 1
                start = self._start_of(next(self._numbers))
                with contextlib.suppress(*OPEN_ERRORS):
                    await self._kind(stream, start)
                await trio.sleep_forever()

    @contextlib.asynccontextmanager
    async def present(
        self, for_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Let the crowd come; yield after some time, and let it stay.

        :param for_s: seconds after which to yield.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._run_client)
            await trio.sleep(for_s)
            yield
            nursery.cancel_scope.cancel()
