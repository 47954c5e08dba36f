"""No case: memory of a gateway whose clients send large requests.

Usage: memory.py CLIENTS MB
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import engine as engine_module  # noqa: E402
from lab import outcome  # noqa: E402
from lab import system  # noqa: E402

LENGTH_S = 12.0
PAUSE_S = 0.1
ENGINES = 6
ALLOWED_MB = 300


async def main() -> int:
    """Print the greatest memory that the gateway used."""
    clients, size = int(sys.argv[1]), int(float(sys.argv[2]) * 1e6)
    body = b"x" * size
    record = system.Record(FOLDER / "record.txt")
    async with system.System() as found:
        for number in range(ENGINES):
            await found.add_engine(
                engine_module.Engine(f"e{number}", "app", 0.0)
            )
        found.configure(
            [system.route("upload", "unsafe", "app", timeoutMs=8000)],
            [system.service("app")],
        )
        await found.add_gateways(1)
        gateway = found.gateways[0]
        ends_at = time.monotonic() + LENGTH_S
        used_mb = []

        async def upload(client: int) -> None:
            count = 0
            while time.monotonic() < ends_at:
                count += 1
                connection = system.Client(gateway, record)
                await connection.ask(
                    f"c{client}-{count}",
                    "/upload/x",
                    Deadline_Ms=8000,
                    body=body,
                )
                connection.close()
                await asyncio.sleep(PAUSE_S)

        async def watch() -> None:
            while time.monotonic() < ends_at:
                used_mb.append(gateway.rss_mb())
                await asyncio.sleep(0.02)

        await asyncio.gather(watch(), *map(upload, range(clients)))
        print(f"{max(used_mb):.0f} MB used; {ALLOWED_MB} are allowed")
        return outcome.BROKEN if max(used_mb) > ALLOWED_MB else outcome.HELD


if __name__ == "__main__":
    outcome.exit_with(main)
