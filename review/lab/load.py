"""Clients that send requests one after the other."""

import asyncio
import random
import time

from lab import system

CLIENTS = 16
PAUSE_S = 0.3
DEADLINE_MS = 1500


async def _ask_until(number, gateway, record, answers, ends_at) -> None:
    client = system.Client(gateway, record)
    rng = random.Random(number)
    count = 0
    await asyncio.sleep(rng.uniform(0, PAUSE_S))
    while time.monotonic() < ends_at:
        count += 1
        request_id = f"c{number}-{count}"
        answers[request_id], _ = await client.ask(
            request_id, "/reserve/plot", Deadline_Ms=DEADLINE_MS
        )
        await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)
    client.close()


async def run(found, record, length_s, disrupt) -> dict:
    """Send unsafe requests through all gateways, and disrupt meanwhile.

    :param found: the system.
    :param record: what is sent and answered.
    :param length_s: seconds.
    :param disrupt: brings the disruption about; awaited with the clients.
    :returns: answers by request; None for none.
    """
    answers = {}
    ends_at = time.monotonic() + length_s
    count = len(found.gateways)
    await asyncio.gather(
        disrupt,
        *(
            _ask_until(
                number,
                found.gateways[number % count],
                record,
                answers,
                ends_at,
            )
            for number in range(CLIENTS)
        ),
    )
    return answers
