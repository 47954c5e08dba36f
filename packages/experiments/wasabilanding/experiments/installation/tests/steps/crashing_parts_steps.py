"""Steps for parts of prompts that end the endpoints that write on them."""

import collections
import itertools
import random
import time

import behave
import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running
from wasabilanding.gateway import plain_wire
from wasabilanding.standins import registered_engine

# Number of ends of endpoints that the bound counts from.
COUNTED_ENDS = 5
INTERVALS_S = {"in turn": 0.25, "in bursts": 2.0, "once a second": 1.0}
RESTARTS = "while gateways restart"
RESTART_INTERVAL_S = 2.0
TIMEOUT_S = 4.0
SOUND_CALLERS = 4
SOUND_PAUSE_S = 0.1
SOUND_PARTS = ("a0", "b1")
TOKENS = 40
HTTP_OK = 200


def _prompt(parts, own):
    """Return the header of a prompt that ends with a part of its own."""
    return ",".join(f"{part}:{TOKENS}" for part in (*parts, own))


class _Load:
    """Requests with parts that end endpoints, and sound ones beside them."""

    def __init__(self, installation, kind, prompts, pattern, seconds):
        self._installation = installation
        self._kind = kind
        self._prompts = prompts
        self._pattern = pattern
        self._seconds = seconds
        self._numbers = itertools.count()
        self.statuses = collections.Counter()
        self.reasons = collections.Counter()
        # Time of day in seconds and status of each sound request.
        self.sound = []

    async def _send(self, client, gateway, parts):
        number = next(self._numbers)
        headers = {
            "host": launch.SITE,
            "x-request": f"request-{number}",
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
            "x-model": launch.SMALL.name if self._kind == "drafts" else "",
            "x-events-wanted": "3",
            plain_wire.PARTS.decode(): _prompt(parts, f"{number:x}"),
        }
        url = f"{gateway.callers_url}/{self._kind}/{number}"
        body = f"body {number}".encode()
        try:
            answer = await client.post(url, headers=headers, content=body)
        except httpx.HTTPError:
            return 0
        if answer.status_code != HTTP_OK:
            self.reasons[answer.text] += 1
        return answer.status_code

    async def _send_ending(self, client, gateway, parts):
        self.statuses[await self._send(client, gateway, parts)] += 1

    async def _send_sound(self, client, rng):
        while True:
            at = time.time()
            gateway = rng.choice(self._installation.gateways)
            status = await self._send(client, gateway, SOUND_PARTS)
            # A gateway that is down refuses the connection.
            if status:
                self.sound.append((at, status))
            await trio.sleep(SOUND_PAUSE_S)

    async def _repeat(self, client):
        gateways = self._installation.gateways
        async with trio.open_nursery() as nursery:
            for turn in itertools.count():
                chosen = [gateways[turn % len(gateways)]]
                if self._pattern == "in bursts":
                    chosen = gateways
                for gateway in chosen:
                    for parts in self._prompts:
                        nursery.start_soon(
                            self._send_ending, client, gateway, parts
                        )
                await trio.sleep(
                    INTERVALS_S.get(self._pattern, INTERVALS_S["in turn"])
                )

    async def run(self):
        """Send requests for the given time."""
        async with running.open_client(TIMEOUT_S) as client:
            with trio.move_on_after(self._seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._repeat, client)
                    if self._pattern == RESTARTS:
                        nursery.start_soon(
                            running.restart_in_series,
                            self._installation,
                            RESTART_INTERVAL_S,
                        )
                    for number in range(SOUND_CALLERS):
                        rng = random.Random(number)
                        nursery.start_soon(self._send_sound, client, rng)


@behave.when(
    "requests of kind {kind} with {parts} come {pattern} for {seconds:d} s "
    "beside sound requests"
)
def send(context, kind, parts, pattern, seconds):
    """Send requests and read what the endpoints ran."""
    context.prompts = [tuple(p.split(",")) for p in parts.split(" and ")]
    context.load = _Load(
        context.installation, kind, context.prompts, pattern, seconds
    )
    trio.run(context.load.run)
    context.runs = context.installation.runs()


def _times_by_part(runs):
    """Return the times at which runs on ending parts began, by part."""
    found = collections.defaultdict(list)
    for run in runs:
        for part in run["parts"].split(",")[:-1]:
            name = part.partition(":")[0]
            if name.startswith(registered_engine.CRASH_PART_PREFIX):
                found[name].append(run["begun_at"])
    return {name: sorted(times) for name, times in found.items()}


def _fifth_end(times):
    """Return the time of day in seconds of the end that bounds count from."""
    last = times[:COUNTED_ENDS][-1]
    return last + registered_engine.RegisteredSettings().crash_after_s


@behave.then(
    "each part reaches at most {count:d} endpoints later than {bound:g} s "
    "after the fifth end"
)
def check_reached(context, count, bound):
    """Count the runs after the fifth end of an endpoint."""
    by_part = _times_by_part(context.runs)
    assert by_part, context.load.statuses
    for part, times in by_part.items():
        later = [at for at in times if at > _fifth_end(times) + bound]
        assert len(later) <= count, (
            f"requests with {part} reached {len(times)} endpoints, "
            f"{len(later)} of them later than {bound} s after the fifth end; "
            f"{context.load.statuses}"
        )


@behave.then(
    "at least {share:g} of the sound requests that come later than {bound:g} "
    "s after the fifth end are served"
)
def check_sound(context, share, bound):
    """Compare the share of sound requests that were answered with 200."""
    fifth_ends = map(_fifth_end, _times_by_part(context.runs).values())
    since = max(fifth_ends) + bound
    found = collections.Counter(
        status for at, status in context.load.sound if at > since
    )
    assert found.total(), context.load.sound
    assert found[HTTP_OK] >= share * found.total(), (
        found,
        context.load.reasons.most_common(5),
    )
