"""An engine in trouble, as a process of its own.

It prints its port, and then what it runs and spoils. A line "spoil SHARE" on
its standard input makes it spoil that share of its answers from then on: such
an answer begins as a success and goes on without end, in chunks of one byte,
until the caller closes.
"""

import asyncio
import os
import sys

from lab import engine as engine_module

BLOCK_BYTES = 65536
CHUNK = b"1\r\nx\r\n"
HEAD = (
    b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Faulty(engine_module.Engine):
    """An engine some of whose answers do not end."""

    share = 0.0
    answers = 0

    async def reply(self, request, request_id, reader, writer) -> bool:
        """Send the answer, or bytes until the caller closes."""
        self.answers += 1
        print(f"{request_id} was begun by {self.identity}", flush=True)
        if int(self.answers * self.share) == int(
            (self.answers - 1) * self.share
        ):
            return await super().reply(request, request_id, reader, writer)
        print(f"the answer to {request_id} has no end", flush=True)
        writer.write(HEAD % request_id.encode())
        block = CHUNK * (BLOCK_BYTES // len(CHUNK))
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
        return False


async def main() -> None:
    """Run until the standard input ends."""
    identity, service, work_s = sys.argv[1:4]
    found = Faulty(identity, service, float(work_s))
    await found.start()
    print(found.port, flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        found.share = float(line.split()[1])
        found.answers = 0
    # Answers without end may still be on their way.
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
