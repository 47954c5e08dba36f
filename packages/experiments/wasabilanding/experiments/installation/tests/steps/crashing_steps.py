"""Steps for requests that end the endpoints that run them."""

import collections
import itertools
import random

import behave
import httpx
import trio

from wasabilanding.experiments.installation import crashing_requests
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running
from wasabilanding.standins import registered_engine

SEND_INTERVAL_S = 0.25
BURST_INTERVAL_S = 2.0
RESTART_INTERVAL_S = 2.0
KILL_INTERVAL_S = 4.0
KILLS = "while all gateways are killed"
TIMEOUT_S = 4.0
INNOCENT_CALLERS = 4
INNOCENT_PAUSE_S = 0.1
PLAN = launch.Plan(pages_per_domain=3)
HTTP_OK = 200


class _Load:
    """Requests that end endpoints, and others beside them."""

    def __init__(self, installation, kind, count, pattern, seconds):
        self._installation = installation
        self._kind = kind
        self._paths = [
            f"/{kind}{registered_engine.CRASH_MARKER}-{number}?q=1"
            for number in range(count)
        ]
        self._pattern = pattern
        self._seconds = seconds
        self._numbers = itertools.count()
        self.statuses = collections.Counter()
        self.innocent = collections.Counter()

    async def _send(self, client, gateway, path, request_id):
        headers = {
            "host": launch.SITE,
            "x-request": request_id,
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
            "x-model": launch.SMALL.name if self._kind == "drafts" else "",
            "x-events-wanted": "3",
        }
        url = f"{gateway.callers_url}{path}"
        try:
            answer = await client.post(url, headers=headers, content=b"body")
        except httpx.HTTPError:
            return 0
        return answer.status_code

    async def _send_crashing(self, client, gateway, path):
        request_id = f"crash-{next(self._numbers)}"
        if self._pattern == "under one identifier":
            request_id = "crash"
        status = await self._send(client, gateway, path, request_id)
        self.statuses[status] += 1

    def _gateways(self, turn):
        gateways = self._installation.gateways
        if self._pattern == "in bursts":
            return gateways
        if self._pattern == "through one gateway":
            return gateways[:1]
        return [gateways[turn % len(gateways)]]

    async def _repeat(self, client):
        interval_s = SEND_INTERVAL_S
        if self._pattern == "in bursts":
            interval_s = BURST_INTERVAL_S
        async with trio.open_nursery() as nursery:
            for turn in itertools.count():
                for gateway in self._gateways(turn):
                    for path in self._paths:
                        nursery.start_soon(
                            self._send_crashing, client, gateway, path
                        )
                await trio.sleep(interval_s)

    async def _send_innocent(self, client, rng):
        while True:
            number = next(self._numbers)
            path = f"/{self._kind}/other-{number}"
            gateway = rng.choice(self._installation.gateways)
            status = await self._send(client, gateway, path, f"o-{number}")
            # A gateway that is down refuses the connection.
            if status:
                self.innocent[status] += 1
            await trio.sleep(INNOCENT_PAUSE_S)

    async def run(self):
        """Send requests for the given time."""
        async with running.open_client(TIMEOUT_S) as client:
            with trio.move_on_after(self._seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._repeat, client)
                    if self._pattern == "while gateways restart":
                        nursery.start_soon(
                            running.restart_in_series,
                            self._installation,
                            RESTART_INTERVAL_S,
                        )
                    if self._pattern == KILLS:
                        nursery.start_soon(
                            running.kill_all_repeatedly,
                            self._installation,
                            KILL_INTERVAL_S,
                        )
                    for number in range(INNOCENT_CALLERS):
                        rng = random.Random(number)
                        nursery.start_soon(self._send_innocent, client, rng)


@behave.given("an installation with three plain endpoints a failure domain")
def given_installation(context):
    """Start an installation; it ends with the scenario."""
    running.start(context, PLAN)


@behave.when(
    "{count:d} requests that end endpoints, of kind {kind}, come {pattern} "
    "for {seconds:d} s beside other requests"
)
def send(context, count, kind, pattern, seconds):
    """Send requests and read what the endpoints ran."""
    context.load = _Load(context.installation, kind, count, pattern, seconds)
    trio.run(context.load.run)
    context.runs = context.installation.runs()


@behave.then(
    "each ends at most {count:d} endpoints later than {bound:g} s after the "
    "third"
)
def check_ended(context, count, bound):
    """Count the runs after the third end of an endpoint."""
    begun_by_path = crashing_requests.begun_by_path(context.runs)
    assert begun_by_path, context.load.statuses
    for path, begun_at in begun_by_path.items():
        later = crashing_requests.late_runs(begun_at, bound)
        assert len(later) <= count, (
            f"{path} ended {len(begun_at)} endpoints, {len(later)} of them "
            f"later than {bound} s after the third; {context.load.statuses}"
        )


def _ended(runs):
    """Return path, endpoint and start of each end; copies may share one."""
    return {
        (run["path"], run["endpoint"], run["life"])
        for run in runs
        if registered_engine.CRASH_MARKER in run["path"]
    }


@behave.then("each ends at most {count:d} endpoints of a failure domain")
def check_ended_in_domain(context, count):
    """Count the endpoints of each failure domain."""
    by_domain = collections.Counter(
        (path, endpoint.partition("-")[0])
        for path, endpoint, _ in _ended(context.runs)
    )
    assert max(by_domain.values()) <= count, by_domain


@behave.then("each ends at most {count:d} endpoints")
def check_ended_in_all(context, count):
    """Count the endpoints of all failure domains."""
    by_path = collections.Counter(path for path, _, _ in _ended(context.runs))
    assert by_path, context.load.statuses
    assert max(by_path.values()) <= count, (by_path, context.load.statuses)


@behave.then(
    "at least {share:g} of the other requests of the route are served"
)
def check_others(context, share):
    """Compare the share of other requests that were answered with 200."""
    found = context.load.innocent
    assert found[HTTP_OK] >= share * found.total(), found
