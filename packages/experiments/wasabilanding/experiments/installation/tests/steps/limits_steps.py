"""Steps for limits that endpoints name."""

import collections
import itertools

import behave
import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running

WINDOW_S = 4.0
TIMEOUT_S = 4.0
NAMED_AT_S = 1.0
RESTART_AT_S = 4.0
# A rejection at once takes less.
AT_ONCE_S = 0.4
HTTP_OK = 200
NOT_RUN = 503


class _Load:
    """Requests at a steady rate, and how they ended."""

    def __init__(self, installation, kind, rate, seconds, how):
        self._installation = installation
        self._kind = kind
        self._rate = rate
        self._seconds = seconds
        self._how = how
        self.endings = []

    async def _send(self, client, number):
        gateways = self._installation.gateways
        count = 1 if self._how == "through one gateway" else len(gateways)
        gateway = gateways[number % count]
        headers = {
            "host": launch.SITE,
            "x-request": f"{self._kind}-{number}",
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
        }
        url = f"{gateway.callers_url}/{self._kind}/limited-{number}"
        sent_at = trio.current_time()
        try:
            answer = await client.post(url, headers=headers)
        except httpx.HTTPError:
            # The gateway is being restarted.
            return
        took_s = trio.current_time() - sent_at
        text = answer.headers.get("retry-after")
        self.endings.append((answer.status_code, took_s, text))

    async def _restart(self):
        await trio.sleep(RESTART_AT_S)
        gateway = self._installation.gateways[0]
        await running.kill_and_restart(self._installation, gateway)

    async def run(self, disturb):
        """Send the requests; endpoints are changed meanwhile."""
        async with (
            running.open_client(TIMEOUT_S) as c,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(disturb)
            if self._how == "while a gateway restarts":
                nursery.start_soon(self._restart)
            ends_at = trio.current_time() + self._seconds
            for number in itertools.count():
                nursery.start_soon(self._send, c, number)
                await trio.sleep(1 / self._rate)
                if trio.current_time() > ends_at:
                    break


@behave.given(
    "an installation of {nodes:d} gateways and two plain endpoints in each of "
    "2 failure domains"
)
def given_installation(context, nodes):
    """Start an installation; it ends with the scenario."""
    running.start(context, launch.Plan(nodes_per_domain=nodes // 2))


@behave.when("{count:d} endpoints name {limit} requests a second at 1 s")
def name_limit(context, count, limit):
    """Choose the endpoints that will name a limit."""
    pages = [
        vm for vm in context.installation.vms if vm.service == launch.PAGES
    ]
    # The first ones are of different failure domains.
    pages.sort(key=lambda vm: vm.endpoint_id.rpartition("-")[2])
    context.named = pages[:count]

    async def name_limits():
        await trio.sleep(NAMED_AT_S)
        for vm in context.named:
            await trio.to_thread.run_sync(
                context.installation.set_limit, vm, limit
            )

    context.disturb = name_limits


@behave.when(
    "{rate:d} requests a second of kind {kind} come for {seconds:d} s {how}"
)
def send(context, rate, kind, seconds, how):
    """Send requests and read what reached the endpoints."""
    context.load = _Load(context.installation, kind, rate, seconds, how)
    trio.run(context.load.run, context.disturb)
    context.arrivals = context.installation.arrivals()


def _largest_window(times):
    """Return the most arrivals in any span of the window."""
    times = sorted(times)
    start = 0
    largest = 0
    for end, at in enumerate(times):
        while at - times[start] >= WINDOW_S:
            start += 1
        largest = max(largest, end - start + 1)
    return largest


@behave.then(
    "from {settled:g} s later on each of them gets at most {factor:g} x "
    "{limit:g} x 4 + {slack:d} requests in any 4 s"
)
def check_windows(context, settled, factor, limit, slack):
    """Compare the arrivals of callers' requests in all windows."""
    names = {vm.endpoint_id for vm in context.named}
    found = collections.defaultdict(list)
    for arrival in context.arrivals:
        is_request = arrival["request_id"] and arrival["limit"]
        if arrival["endpoint"] in names and is_request:
            found[arrival["endpoint"]].append(-arrival["age_s"])
    allowed = factor * limit * WINDOW_S + slack
    for name, times in found.items():
        after = [at for at in times if at > min(times) + settled]
        largest = _largest_window(after)
        assert largest <= allowed, f"{name} got {largest} in 4 s: {allowed}"


@behave.then("at least {share:g} of the requests are served")
def check_served(context, share):
    """Compare the share of requests that were answered with 200."""
    statuses = collections.Counter(e[0] for e in context.load.endings)
    assert statuses[HTTP_OK] >= share * statuses.total(), statuses
    context.statuses = statuses


@behave.then("the others are rejected at once, with a time to return")
def check_rejections(context):
    """Check the time and the header of each rejection."""
    for status, took_s, retry_after in context.load.endings:
        if status != HTTP_OK:
            assert status == NOT_RUN, (status, took_s)
            assert took_s <= AT_ONCE_S, took_s
            assert float(retry_after) > 0, retry_after
