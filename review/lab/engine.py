"""Stand-in of an engine of a plain service, as PROTOCOL describes it."""

import asyncio
import contextlib
import dataclasses
import time

from lab import http


@dataclasses.dataclass
class Run:
    """A request that an engine has begun to run.

    :param engine: the engine's identity.
    :param request_id: identity of the request.
    :param begun_at: time of the driver's clock in seconds.
    :param request: the request.
    """

    engine: str
    request_id: str
    begun_at: float
    request: http.Message


class Engine:
    """An engine with a given answer.

    :param identity: its identity.
    :param service: its service.
    :param work_s: seconds that a request takes.
    :param host: loopback address.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        work_s: float = 0.05,
        host: str = "127.0.0.1",
        zone: str = "z1",
        slots: int = 6,
    ) -> None:
        self.identity = identity
        self.service = service
        self.work_s = work_s
        self.host = host
        self.zone = zone
        self.slots = slots
        self.runs: list[Run] = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.extra: dict[str, str] = {}
        self.is_faulty = False
        self.connections: set = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close all connections."""
        for writer in list(self.connections):
            writer.close()

    def entry(self, state: str = "ready") -> dict:
        """Return its entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "born": self.born,
            "sequence": self.sequence,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        with contextlib.suppress(ConnectionError):
            while True:
                request = await http.read_message(reader)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        self.connections.discard(writer)
        writer.close()

    async def answer(self, request, reader, writer) -> bool:
        """Answer a request; return whether to keep the connection."""
        if request.path == "/health":
            writer.write(http.response(200, {"Instance": self.identity}))
            await writer.drain()
            return True
        expected = request.headers.get("expect-instance", self.identity)
        if expected != self.identity:
            writer.write(http.response(421, {"Instance": self.identity}))
            await writer.drain()
            return True
        request_id = request.headers.get("attempt-id", "")
        self.runs.append(
            Run(self.identity, request_id, time.monotonic(), request)
        )
        await asyncio.sleep(self.work_s)
        return await self.reply(request, request_id, reader, writer)

    async def reply(self, request, request_id, reader, writer) -> bool:
        """Send the answer to a request that has run."""
        headers = self.headers(request_id)
        writer.write(http.response(200, headers, self.body(request_id)))
        await writer.drain()
        return True

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a success."""
        return {
            "Attempt-Id": request_id,
            "Server-Seal": f"seal.{self.identity}.{request_id}",
        } | self.extra

    def body(self, request_id: str) -> bytes:
        """Return the body of a success."""
        return f"{self.identity} {request_id} ".encode() * 8
