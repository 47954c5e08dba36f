"""No case: a `Server-Limit` or `Retry-After` with many decimals is ignored.

Usage: limit.py server-limit|retry-after VALUE
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import engine as engine_module  # noqa: E402
from lab import load  # noqa: E402
from lab import outcome  # noqa: E402
from lab import system  # noqa: E402

CONTACT_S = 3.0
WINDOW_S = 4.0


class Asking(engine_module.Engine):
    """An engine that names a limit, or once refuses with a Retry-After."""

    asked_at = float("inf")
    retry_after = ""

    async def reply(self, request, request_id, reader, writer) -> bool:
        """Send the answer, or once a refusal."""
        if not self.retry_after:
            return await super().reply(request, request_id, reader, writer)
        headers = {"Not-Executed": "1", "Retry-After": self.retry_after}
        self.retry_after = ""
        self.asked_at = time.monotonic()
        writer.write(system.http.response(503, headers))
        await writer.drain()
        return True


async def main() -> int:
    """Print how many requests reach the engine."""
    header, value = sys.argv[1:3]
    record = system.Record(FOLDER / "record.txt")
    async with system.System() as found:
        asking = Asking("e0", "app")
        await found.add_engine(asking)
        for number in (1, 2):
            await found.add_engine(engine_module.Engine(f"e{number}", "app"))
        found.configure(
            [system.route("reserve", "unsafe", "app")],
            [system.service("app")],
        )
        await found.add_gateways(1)

        async def ask() -> None:
            await asyncio.sleep(CONTACT_S)
            if header == "retry-after":
                asking.retry_after = value
                return
            asking.extra = {"Server-Limit": value}
            asking.asked_at = time.monotonic()

        await load.run(found, record, 16.0, ask())
        times = [run.begun_at - asking.asked_at for run in asking.runs]
        if header == "retry-after":
            count = sum(0.5 < at < float(value) for at in times)
            print(f"{count} requests in the time; 2 are allowed")
            return outcome.BROKEN if count > 2 else outcome.HELD
        most = max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
                if start > CONTACT_S
            ),
            default=0,
        )
        allowed = 1.5 * float(value) * WINDOW_S + 5
        print(f"{most} requests in some 4 s; {allowed:.1f} are allowed")
        return outcome.BROKEN if most > allowed else outcome.HELD


if __name__ == "__main__":
    outcome.exit_with(main)
