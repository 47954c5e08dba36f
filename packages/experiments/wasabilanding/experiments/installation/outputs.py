"""Standard output of a gateway on a pipe whose reader pauses."""

import collections.abc
import fcntl
import os
import pathlib
import random

import trio

# A busy gateway fills it within a few lines.
PIPE_BYTES = 4096
READ_BYTES = 65_536
READ_RANGE_S = (0.3, 1.5)
HELD_RANGE_S = (0.7, 4.0)
SLOW_READ_BYTES = 512
SLOW_READ_INTERVAL_S = 0.1


class PipedOutput:
    """A pipe that is copied to a log file; it is closed by its owner.

    :param path: log file; output is appended to it.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._reader, self.writer = os.pipe()
        fcntl.fcntl(self.writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self._is_slow = False
        self._unblocked = trio.Event()
        self._unblocked.set()

    def close(self) -> None:
        """Close the end that is written to, when the gateway has exited."""
        os.close(self.writer)

    async def vary_reading(
        self,
        rng: random.Random,
        record: collections.abc.Callable[[str], None],
    ) -> None:
        """Read at full speed, slowly or not at all, in turn, until cancelled.

        :param rng: source of randomness.
        :param record: records a change.
        """
        try:
            while True:
                await trio.sleep(rng.uniform(*READ_RANGE_S))
                change = rng.choice((self._hold, self._hold, self._slow_down))
                held_s = rng.uniform(*HELD_RANGE_S)
                name = change.__name__.strip("_")
                record(f"{name} {self._path.name} for {held_s:.2f} s")
                change()
                await trio.sleep(held_s)
                self._resume()
        finally:
            self._resume()

    def _hold(self) -> None:
        self._unblocked = trio.Event()

    def _slow_down(self) -> None:
        self._is_slow = True

    def _resume(self) -> None:
        self._is_slow = False
        self._unblocked.set()

    async def run(self) -> None:
        """Copy the output until cancelled."""
        async with trio.lowlevel.FdStream(self._reader) as stream:
            with self._path.open("ab", buffering=0) as log:
                while True:
                    await self._unblocked.wait()
                    data = await self._read(stream)
                    if not data:
                        return
                    log.write(data)

    async def _read(self, stream: trio.lowlevel.FdStream) -> bytes:
        if not self._is_slow:
            return await stream.receive_some(READ_BYTES)
        await trio.sleep(SLOW_READ_INTERVAL_S)
        return await stream.receive_some(SLOW_READ_BYTES)
