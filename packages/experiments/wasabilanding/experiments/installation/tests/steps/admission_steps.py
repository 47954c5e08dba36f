"""Steps for requests that wait at the gateways."""

import dataclasses
import random
import statistics

import behave
import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running
from wasabilanding import routes

WORK_S = 1.5
SLOTS = 4
PAGES_PER_DOMAIN = 3
QUEUE = 8
ALL_SLOTS = 2 * PAGES_PER_DOMAIN * SLOTS
LIMIT_S = 6.0
# Until then, requests fill the slots and the gateways learn how long they
# take.
SETTLE_S = 6.0
LARGE = "large"
SMALL = [f"small-{number}" for number in range(10)]
HTTP_OK = 200
NOT_RUN = 503


@dataclasses.dataclass(frozen=True)
class _Ending:
    customer: str
    sent_at: float
    took_s: float
    status: int


class _Load:
    """Requests of customers at random times to random gateways."""

    def __init__(self, installation):
        self._gateways = installation.gateways
        self._rng = random.Random(1)
        self._count = 0
        self._began_at = 0.0
        self.endings = []

    async def run(self, rates, seconds):
        """Send the requests of all customers; wait for all answers."""
        self._began_at = trio.current_time()
        async with (
            running.open_client(LIMIT_S + 2.0) as client,
            trio.open_nursery() as nursery,
        ):
            for customer, per_s in rates.items():
                nursery.start_soon(
                    self._send_all, nursery, client, customer, per_s, seconds
                )

    async def _send_all(self, nursery, client, customer, per_s, seconds):
        at = self._began_at
        while True:
            at += self._rng.expovariate(per_s)
            if at > self._began_at + seconds:
                return
            await trio.sleep_until(at)
            nursery.start_soon(self._send, client, customer)

    async def _send(self, client, customer):
        self._count += 1
        headers = {
            "host": launch.SITE,
            "x-request": f"pages-{self._count}",
            "x-deadline-s": str(LIMIT_S),
            "x-key": f"key-{customer}",
        }
        gateway = self._rng.choice(self._gateways)
        url = f"{gateway.callers_url}/pages/{self._count}"
        sent_at = trio.current_time()
        status = 0
        try:
            answer = await client.post(url, headers=headers)
            status = answer.status_code
        except httpx.HTTPError:
            # It counts as not served.
            pass
        now = trio.current_time()
        self.endings.append(
            _Ending(customer, sent_at - self._began_at, now - sent_at, status)
        )


@behave.given(
    "an installation of 4 gateways with admission control and 6 plain "
    "endpoints"
)
def given_installation(context):
    """Start an installation with a customer for each key."""
    running.start(
        context,
        launch.Plan(pages_per_domain=PAGES_PER_DOMAIN),
        settings={"admission": True},
        behaviour={"work_s": WORK_S, "queue": QUEUE},
    )
    table = launch.routing_table(2, ("key-1", "key-2"))
    holders = tuple(
        routes.KeyHolder(customer, frozenset((f"key-{customer}",)))
        for customer in (LARGE, *SMALL)
    )
    context.installation.configure(
        dataclasses.replace(table, key_holders=table.key_holders + holders)
    )


@behave.when(
    "a large customer asks for {large:g} times the capacity for {seconds:g} s"
)
def plan_large(context, large, seconds):
    """Set the demand of the large customer."""
    context.rates = {LARGE: large * ALL_SLOTS / WORK_S}
    context.seconds = seconds


@behave.when(
    "ten small customers ask for {per_s:g} requests a second together for "
    "{seconds:g} s"
)
def send_alone(context, per_s, seconds):
    """Send the requests of the small customers alone."""
    context.small_rates = dict.fromkeys(SMALL, per_s / len(SMALL))
    load = _Load(context.installation)
    trio.run(load.run, context.small_rates, seconds)
    context.alone_s = statistics.median(
        e.took_s for e in load.endings if e.status == HTTP_OK
    )


@behave.when("the small ones ask for as much as before")
def send(context):
    """Send the requests of all customers."""
    context.rates |= context.small_rates
    load = _Load(context.installation)
    trio.run(load.run, context.rates, context.seconds)
    context.all_endings = load.endings
    context.endings = [e for e in load.endings if e.sent_at >= SETTLE_S]
    context.small = [e for e in context.endings if e.customer != LARGE]


@behave.then("{share:g} of the small customers' requests or more are served")
def check_small(context, share):
    """Compare the share."""
    served = [e for e in context.small if e.status == HTTP_OK]
    assert len(served) >= share * len(context.small), context.small


@behave.then(
    "half of their answers take at most {factor:g} times as long as alone"
)
def check_times(context, factor):
    """Compare the medians."""
    found = [e.took_s for e in context.small if e.status == HTTP_OK]
    assert statistics.median(found) <= factor * context.alone_s, sorted(found)


@behave.then("the goodput is at least {share:g} of the capacity")
def check_goodput(context, share):
    """Count the answers within the load."""
    ends = [
        e.sent_at + e.took_s
        for e in context.all_endings
        if e.status == HTTP_OK
    ]
    served = sum(SETTLE_S <= at <= context.seconds for at in ends)
    per_s = served / (context.seconds - SETTLE_S)
    found = per_s * context.alone_s / ALL_SLOTS
    assert found >= share, (found, context.alone_s)


@behave.then("refusals take at most {seconds:g} s, as the median")
def check_refusals(context, seconds):
    """Compare the median; each refusal has a time to return."""
    found = [e.took_s for e in context.endings if e.status == NOT_RUN]
    assert statistics.median(found) <= seconds, sorted(found)


@behave.then("less than {share:g} of the admitted requests are cut")
def check_cut(context, share):
    """Count the requests without an answer in time."""
    admitted = [e for e in context.endings if e.status != NOT_RUN]
    cut = [e for e in admitted if e.status != HTTP_OK]
    assert len(cut) <= share * len(admitted), cut


@behave.then("endpoints refuse at most {share:g} of the number of requests")
def check_arrivals(context, share):
    """Compare what reached the endpoints with the answers."""
    arrivals = [
        arrival
        for arrival in context.installation.arrivals()
        if arrival["request_id"].startswith("pages-")
    ]
    served = sum(e.status == HTTP_OK for e in context.all_endings)
    extra = len(arrivals) - served
    assert extra <= share * len(context.all_endings), extra
