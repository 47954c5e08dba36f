"""An engine of a plain service: one process, which a script may kill.

It answers as the users' pages say, and prints a line of JSON for each request
that it begins to run. Commands arrive as lines of JSON on standard input:

    beat      whether it reaches the store
    state     "ready" or "draining"
    limit     value of Server-Limit; empty for none
    leave     it removes its entry and ends
"""

import asyncio
import json
import sys
import threading
import time

import lab

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Program:
    """The engine.

    :param settings: its settings, from the command line.
    """

    def __init__(self, settings: dict) -> None:
        self._settings = settings
        self.name = settings["name"]
        self._beats = True
        self._state = "ready"
        self._limit = settings.get("limit", "")
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(settings["slots"])
        self._running = 0

    def _print(self, **fields) -> None:
        print(json.dumps({"at": time.monotonic(), **fields}), flush=True)

    async def run(self) -> None:
        """Serve until killed."""
        server = await asyncio.start_server(
            self._serve, lab.HOST, self._settings.get("port", 0)
        )
        self._port = server.sockets[0].getsockname()[1]
        self._print(port=self._port)
        commands: asyncio.Queue = asyncio.Queue()
        loop = asyncio.get_running_loop()

        def read() -> None:
            for line in sys.stdin:
                loop.call_soon_threadsafe(commands.put_nowait, line)

        threading.Thread(target=read, daemon=True).start()
        asyncio.create_task(self._beat())
        while True:
            command = json.loads(await commands.get())
            self._beats = command.get("beat", self._beats)
            self._limit = command.get("limit", self._limit)
            if "state" in command:
                self._state = command["state"]
            if "leave" in command:
                await self._call("DELETE", {})
                return
            if self._beats:
                await self._write_entry()

    async def _beat(self) -> None:
        while True:
            if self._beats:
                await self._write_entry()
            await asyncio.sleep(self._settings["heartbeat_s"])

    async def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self._settings["service"],
            "address": f"{lab.HOST}:{self._port}",
            "zone": self._settings["zone"],
            "version": "v1",
            "slots": self._settings["slots"],
            "state": self._state,
            "coldLeftMs": 0,
            "born": self._born,
            "sequence": self._sequence,
        }
        await self._call("PUT", entry)

    async def _call(self, method: str, document: dict) -> None:
        reader, writer = await asyncio.open_connection(
            lab.HOST, self._settings["store"]
        )
        data = json.dumps(document).encode()
        writer.write(
            f"{method} /standin/servers/{self.name} HTTP/1.1\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await lab.read_head(reader)
        writer.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await lab.read_head(reader)) is not None:
                body = await lab.read_request_body(reader, head.headers)
                if not await self._answer(writer, head, body):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def _head(self, status: str, head: lab.Head, more: str = "") -> bytes:
        text = f"HTTP/1.1 {status}\r\n"
        if "attempt-id" in head.headers:
            text += f"Attempt-Id: {head.headers['attempt-id']}\r\n"
        if self._limit:
            text += f"Server-Limit: {self._limit}\r\n"
        return (text + more + "\r\n").encode()

    async def _answer(self, writer, head: lab.Head, body: bytes) -> bool:
        """Answer a request; return whether the channel is kept."""
        method, target, _ = head.first.split(" ")
        if target.startswith(("/health", "/api/report")):
            text = b"{}"
            more = f"Instance: {self.name}\r\ncontent-length: {len(text)}\r\n"
            writer.write(self._head("200 OK", head, more) + text)
            await writer.drain()
            return True
        if head.headers.get("expect-instance", self.name) != self.name:
            more = f"Instance: {self.name}\r\ncontent-length: 0\r\n"
            writer.write(self._head("421 x", head, more))
            await writer.drain()
            return True
        queue = self._settings.get("queue", 24)
        if self._running >= self._settings["slots"] + queue:
            more = "Not-Executed: 1\r\ncontent-length: 0\r\n"
            writer.write(self._head("503 x", head, more))
            await writer.drain()
            return True
        self._print(
            event="arrives",
            id=head.headers.get("attempt-id", ""),
            method=method,
            target=target,
            tenant=head.headers.get("tenant", ""),
        )
        self._running += 1
        try:
            async with self._slots:
                return await self._work(writer, head, target)
        finally:
            self._running -= 1

    async def _work(self, writer, head: lab.Head, target: str) -> bool:
        """Run a request.

        The target says what the answer is: /KIND/PIECES/GAP_MS, where KIND
        ends in "-open" for an answer with neither length nor chunks.
        """
        request_id = head.headers.get("attempt-id", "")
        self._print(event="runs", id=request_id, target=target)
        _, kind, pieces, gap_ms = target.split("?")[0].split("/")[:4]
        gap_s = int(gap_ms) / 1000
        is_stream = kind.startswith("stream")
        first = int(head.headers.get("last-event-id", "0")) + 1
        numbers = range(first if is_stream else 1, int(pieces) + 1)
        parts = [
            f"id: {n}\ndata: {request_id} {n}\n\n".encode()
            if is_stream
            else f"{request_id} part {n} of {pieces}\n".encode()
            for n in numbers
        ]
        more = f"Server-Seal: {SEAL}\r\n"
        if is_stream:
            more += "content-type: text/event-stream\r\n"
        is_open = kind.endswith("-open")
        if is_open:
            more += "connection: close\r\n"
        elif is_stream:
            more += "transfer-encoding: chunked\r\n"
        else:
            more += f"content-length: {sum(map(len, parts))}\r\n"
        await asyncio.sleep(gap_s)
        writer.write(self._head("200 OK", head, more))
        for part in parts:
            is_chunked = is_stream and not is_open
            if is_chunked:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(gap_s)
        if is_stream and not is_open:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._print(event="ends", id=request_id)
        return not is_open


if __name__ == "__main__":
    asyncio.run(Program(json.loads(sys.argv[1])).run())
