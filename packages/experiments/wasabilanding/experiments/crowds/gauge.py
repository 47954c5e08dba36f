"""Memory and descriptors of a process while clients call it."""

import collections.abc
import contextlib
import dataclasses
import pathlib

import trio

INTERVAL_S = 0.05
KB = 1024
LISTEN = "0A"
ESTABLISHED_AND_CLOSING = frozenset(("01", "08"))


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a process uses at a moment.

    :param resident_bytes: its resident memory.
    :param unread_bytes: bytes that wait in its sockets until it reads them.
    :param descriptors: open file descriptors.
    """

    resident_bytes: int
    unread_bytes: int
    descriptors: int

    @property
    def memory_bytes(self) -> int:
        """Memory that counts towards the limit of the machine."""
        return self.resident_bytes + self.unread_bytes


def unread_bytes(table: str, ports: collections.abc.Collection[int]) -> int:
    """Return the unread bytes of connections that lead to some ports.

    :param table: content of ``/proc/net/tcp``.
    :param ports: the ports.

    Examples
    ========

    >>> from wasabilanding.experiments.crowds import gauge
    >>> row = "0: 0100007F:1F90 0100007F:C350 01 00000000:00000400 00:0 0"
    >>> gauge.unread_bytes("header\\n" + row, {8080})
    1024
    >>> gauge.unread_bytes("header\\n" + row, {8081})
    0
    """
    total = 0
    for line in table.splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        if port in ports and fields[3] in ESTABLISHED_AND_CLOSING:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


def _resident_bytes(process_id: int) -> int:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KB
    return 0


class Gauge:
    """Largest use of memory and descriptors by a process.

    :param process_id: id of the process.
    :param ports: ports that it listens on.
    """

    def __init__(
        self, process_id: int, ports: collections.abc.Collection[int]
    ) -> None:
        self._process_id = process_id
        self._ports = frozenset(ports)
        self.largest = Sample(0, 0, 0)
        self.descriptors = 0

    def sample(self) -> Sample:
        """Return what the process uses now.

        :raises OSError: if it has ended.
        """
        folder = pathlib.Path(f"/proc/{self._process_id}/fd")
        table = pathlib.Path("/proc/net/tcp").read_text()
        return Sample(
            _resident_bytes(self._process_id),
            unread_bytes(table, self._ports),
            len(list(folder.iterdir())),
        )

    async def _keep_sampling(self) -> None:
        while True:
            found = await trio.to_thread.run_sync(self.sample)
            self.descriptors = max(self.descriptors, found.descriptors)
            if found.memory_bytes > self.largest.memory_bytes:
                self.largest = found
            await trio.sleep(INTERVAL_S)

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator[None]:
        """Sample until the end of the block."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_sampling)
            yield
            nursery.cancel_scope.cancel()
