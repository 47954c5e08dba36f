"""Steps for the repeats that all nodes send together."""

import contextlib
import itertools
import time

import behave
import httpx
import trio

from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import repeats
from wasabilanding.experiments.installation.tests import running

RATIO = 0.2
TIMEOUT_S = 4.0
# Endpoints with free slots refuse at random only.
BEHAVIOUR = {"slots": 64, "work_s": 0.01}
KIND = "pages"
KILLED_AT_S = 5.0


class _Load:
    """Requests at a steady rate through all gateways in turn."""

    def __init__(self, installation, killed):
        self._installation = installation
        self._killed = killed
        self._gateways = itertools.cycle(installation.gateways)
        self._numbers = itertools.count()
        self.sent_at = []

    async def _send(self, client):
        gateway = next(self._gateways)
        request_id = f"{KIND}-{next(self._numbers)}"
        headers = {
            "host": launch.SITE,
            "x-request": request_id,
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
        }
        url = f"{gateway.callers_url}/{KIND}/{request_id}"
        self.sent_at.append(time.monotonic())
        # Requests to a gateway that is killed fail.
        with contextlib.suppress(httpx.HTTPError):
            await client.post(url, headers=headers)

    async def _restart(self, gateway):
        await trio.sleep(KILLED_AT_S)
        await running.kill_and_restart(self._installation, gateway)

    async def run(self, rate, seconds):
        """Send requests, without waiting for the answers of earlier ones."""
        async with (
            running.open_client(TIMEOUT_S + 1) as client,
            trio.open_nursery() as nursery,
        ):
            begun_at = trio.current_time()
            for gateway in self._killed:
                nursery.start_soon(self._restart, gateway)
            for number in range(int(rate * seconds)):
                await trio.sleep_until(begun_at + number / rate)
                nursery.start_soon(self._send, client)


@behave.given(
    "{nodes:d} gateways with a retry slack of {slack:d}, and {endpoints:d} "
    "endpoints that refuse {share:g} of their requests"
)
def given_installation(context, nodes, slack, endpoints, share):
    """Start an installation; it ends with the scenario."""
    context.slack = slack
    running.start(
        context,
        launch.Plan(
            nodes_per_domain=nodes // 2,
            fabrics_per_domain=1,
            pages_per_domain=endpoints // 2,
        ),
        is_cuttable=True,
        settings={"retry_ratio": RATIO, "retry_slack": slack},
        behaviour={**BEHAVIOUR, "refused_share": share},
    )


@behave.when("{cut:d} of them do not reach {unreached:d} of the endpoints")
def cut_links(context, cut, unreached):
    """Refuse new connections of some gateways, and reset the others."""
    installation = context.installation
    pages = [vm for vm in installation.vms if vm.service == launch.PAGES]
    for gateway in installation.gateways[:cut]:
        installation.cut(gateway, cut_gateway.RESET, pages[:unreached])


@behave.when("{count:d} of them are killed and started again at 5 s")
def kill(context, count):
    """Choose the gateways that are killed beside the load."""
    context.killed = context.installation.gateways[:count]


@behave.when(
    "{rate:d} requests a second are sent through all of them for {seconds:d} s"
)
def send(context, rate, seconds):
    """Send requests and read what reached the endpoints."""
    load = _Load(context.installation, context.killed)
    trio.run(load.run, rate, seconds)
    read_at = time.monotonic()
    arrivals = [
        (read_at - arrival["age_s"], arrival["request_id"])
        for arrival in context.installation.arrivals()
        if arrival["request_id"].startswith(KIND)
    ]
    context.uses = repeats.uses(
        load.sent_at, repeats.repeat_times(arrivals), RATIO, context.slack
    )


@behave.then("no 10 s have more repeats than the allowance")
def check_most(context):
    """Compare each span with its allowance."""
    over = [use for use in context.uses if use.repeats > use.allowed]
    assert not over, over


@behave.then("some 10 s have at least {share:g} of it")
def check_least(context, share):
    """Compare the span with the most repeats with its allowance."""
    most = max(context.uses, key=lambda use: use.repeats, default=None)
    assert most and most.repeats >= share * most.allowed, most
