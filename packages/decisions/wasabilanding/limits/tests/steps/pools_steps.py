"""Steps for requests that wait for a pool."""

import collections
import heapq
import random

import behave

from wasabilanding import limits
from wasabilanding.limits import pool_share

SLOTS = 10
WORK_S = 1.0
TICK_S = 0.05
REPORT_AGE_S = 0.1
SETTLE_S = 5.0
OTHER = limits.Kind("other", 1)
SLOW = limits.Kind("slow", 1)


def _pool(load):
    return limits.PoolState((SLOTS,), load, REPORT_AGE_S)


def _numbers(text):
    return [float(part) for part in text.split(",")]


def _learned_queue(kind=OTHER):
    """Return a queue that knows how long requests take."""
    queue = limits.PoolQueue("pool", random.Random(1))
    for _ in range(20):
        queue.record_run(kind, WORK_S, _pool(SLOTS))
    return queue


def _request(name, customer="a", kind=OTHER, now=0.0, limit_s=5.0, **options):
    return limits.PoolRequest(
        name, customer, kind, now, now + limit_s, **options
    )


class _Replay:
    """Requests at steady rates to one node and one endpoint.

    :param flows: customer, kind, requests per second and time limit in
        seconds of each flow.
    """

    def __init__(self, flows, seconds):
        self._queue = _learned_queue()
        self._flows = flows
        self._seconds = seconds
        self._load = 0
        self._ends = []
        self._sent = {}
        self.served = collections.Counter()
        self.refused = collections.Counter()

    def run(self):
        """Run the flows in steps of time."""
        for index in range(int(self._seconds / TICK_S)):
            now = index * TICK_S
            self._arrive(index, now)
            self._finish(now)
            pool = _pool(self._load)
            late = self._queue.refuse_late(pool, now)
            self.refused["late"] += len(late)
            for name in self._queue.admit(pool, now, 0):
                self._load += 1
                starts = max(now, self._slot_free_at(now))
                heapq.heappush(self._ends, (starts + WORK_S, name))

    def _slot_free_at(self, now):
        running = sorted(at for at, _ in self._ends)
        return running[-SLOTS] if len(running) >= SLOTS else now

    def _arrive(self, index, now):
        for number, (customer, kind, per_s, limit_s) in enumerate(self._flows):
            due = int((index + 1) * TICK_S * per_s) - int(
                index * TICK_S * per_s
            )
            for extra in range(due):
                name = f"{number}/{index}/{extra}"
                request = _request(name, customer, kind, now, limit_s)
                self._sent[name] = (number, request)
                if self._queue.offer(request, _pool(self._load), now):
                    self.refused["forecast"] += 1

    def _finish(self, now):
        while self._ends and self._ends[0][0] <= now:
            ended_at, name = heapq.heappop(self._ends)
            self._load -= 1
            number, request = self._sent[name]
            if ended_at <= request.deadline and ended_at >= SETTLE_S:
                self.served[number] += 1


@behave.given(
    "customers that ask for {demands} requests a second for {seconds:g} s"
)
def given_customers(context, demands, seconds):
    """Make a flow of each customer."""
    flows = [
        (f"c{number}", OTHER, per_s, 5.0)
        for number, per_s in enumerate(_numbers(demands))
    ]
    context.seconds = seconds
    context.replay = _Replay(flows, seconds)


@behave.given(
    'a customer\'s kinds "{kinds}" of priority and time limit, {per_s:g} '
    "requests a second of each for {seconds:g} s"
)
def given_kinds(context, kinds, per_s, seconds):
    """Make a flow of each kind."""
    flows = []
    for number, text in enumerate(kinds.split(",")):
        priority, limit_s = text.split()
        kind = limits.Kind(f"r{number}", int(priority))
        flows.append(("a", kind, per_s, float(limit_s)))
    context.seconds = seconds
    context.replay = _Replay(flows, seconds)


@behave.when("the node is alone with the pool")
def replay(context):
    """Replay the flows."""
    context.replay.run()


@behave.then(
    "from 5 s on the {whose} are served {least} requests a second or more"
)
def check_served(context, whose, least):
    """Compare the rate of each flow."""
    span_s = context.seconds - SETTLE_S
    served = context.replay.served
    for number, bound in enumerate(_numbers(least)):
        assert served[number] / span_s >= bound, served


@behave.then("less than {share:g} of the refusals come after a wait")
def check_late(context, share):
    """Compare refusals after a wait with those on arrival."""
    refused = context.replay.refused
    assert refused["late"] < share * refused.total(), refused


@behave.given(
    'requests of kind "slow" took {before:g} s each, and now take 1 s'
)
def given_slow(context, before):
    """Let the queue learn a run time that is wrong from now on."""
    context.queue = _learned_queue()
    for _ in range(20):
        context.queue.record_run(SLOW, before, _pool(SLOTS))


@behave.given("{count:d} other customers have a request waiting")
def given_others(context, count):
    """Let requests wait, and others end."""
    for number in range(count):
        request = _request(f"o{number}", f"c{number}", limit_s=100.0)
        context.queue.offer(request, _pool(11), 0.0)
    for _ in range(300):
        context.queue.record_run(OTHER, WORK_S, _pool(SLOTS))


@behave.when(
    'a request of kind "slow" with a time limit of {limit:g} s comes every '
    "{interval:g} s"
)
def offer_slow(context, limit, interval):
    """Offer requests until one is admitted."""
    now = 0.0
    for number in range(1000):
        now += interval
        request = _request(f"s{number}", "b", SLOW, now, limit)
        if context.queue.offer(request, _pool(11), now) is None:
            break
    context.admitted_after = number
    context.admitted_at = now


@behave.then("the first is refused, and one is admitted within {bound:g} s")
def check_admitted(context, bound):
    """Compare the time."""
    assert context.admitted_after > 0
    assert context.admitted_at <= bound, context.admitted_at


@behave.given("{count:d} first attempts wait")
def given_first_attempts(context, count):
    """Offer requests."""
    context.queue = _learned_queue()
    for number in range(count):
        context.queue.offer(_request(f"f{number}"), _pool(20), 0.0)


@behave.when("a request waits again that {state}")
def put_back(context, state):
    """Let a request wait again."""
    request = _request("again", is_retry=True)
    context.queue.put_back(request, 0.0, state == "an endpoint may have run")


@behave.when("the budget allows {budget:d} retries")
def admit(context, budget):
    """Admit all that may be sent."""
    context.sent = context.queue.admit(_pool(0), 0.1, budget)


@behave.then("it is sent {position}")
def check_position(context, position):
    """Check the order of sending."""
    expected = {
        "first": ["again", "f0", "f1", "f2"],
        "last": ["f0", "f1", "f2", "again"],
        "never": ["f0", "f1", "f2"],
    }
    assert context.sent == expected[position], context.sent


@behave.given('{count:d} requests of customer "a" wait')
def given_waiting(context, count):
    """Offer requests that have much time."""
    context.queue = _learned_queue()
    for number in range(count):
        request = _request(f"w{number}", limit_s=100.0)
        assert context.queue.offer(request, _pool(20), 0.0) is None


@behave.when(
    "{count:d} requests with a time limit of {limit:g} s are refused at once"
)
def refuse(context, count, limit):
    """Offer requests that cannot end in time."""
    context.returns_s = []
    for number in range(count):
        outcome = context.queue.offer(
            _request(f"r{number}", limit_s=limit), _pool(20), 0.0
        )
        context.returns_s.append(outcome.retry_after_s)


@behave.then(
    "their times to return do not decrease, and are at most {bound:g} s"
)
def check_returns(context, bound):
    """Check the order and the bound."""
    found = context.returns_s
    assert found == sorted(found), found
    assert 0 < found[0] and found[-1] <= bound, found


@behave.given(
    "{customers:d} customers with 1 waiting request in each of {pools:d} pools"
)
def given_report(context, customers, pools):
    """Make the report."""
    waiting = {f"c{i}": 1 for i in range(customers)}
    context.report = limits.bounded({f"p{i}": waiting for i in range(pools)})


@behave.then(
    "the report has {customers:d} customers in each of {pools:d} pools"
)
def check_report(context, customers, pools):
    """Count pools and customers."""
    assert len(context.report) == pools, len(context.report)
    for found in context.report.values():
        assert len(found) == customers, len(found)


@behave.then("it counts {total:d} requests")
def check_total(context, total):
    """Count requests."""
    found = sum(sum(counts.values()) for counts in context.report.values())
    assert found == total, found


@behave.given(
    "{count:d} endpoints of {slots:d} slots that take {rate:g} requests a "
    "second each until {ends:g} s"
)
def given_limited(context, count, slots, rate, ends):
    """Describe endpoints whose limits end together."""
    context.endpoints = range(count)
    context.slots = slots
    context.rate_at = lambda now: rate if now < ends else None


@behave.when("all nodes together send as many requests as the pool may take")
def send_counted(context):
    """Replay a full queue; requests take WORK_S, and reports are exact."""
    counted = limits.LimitedSlots()
    ends = []
    context.sent_at = []
    due = 0.0
    for tick in range(round(12 / TICK_S)):
        now = tick * TICK_S
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        slots = tuple(
            counted.count(
                name, context.slots, context.rate_at(now), WORK_S, now
            )
            for name in context.endpoints
        )
        pool = limits.PoolState(slots, len(ends), REPORT_AGE_S)
        room = pool.total_slots - pool.load
        due += pool_share.refill(pool, room, WORK_S, TICK_S)
        while due >= 1:
            due -= 1
            context.sent_at.append(now)
            heapq.heappush(ends, now + WORK_S)


def _sent(context, begin, end):
    return sum(begin <= at < end - TICK_S / 2 for at in context.sent_at)


@behave.then(
    "from {begin:g} s to {end:g} s they send {least:g} to {most:g} requests a "
    "second"
)
def check_rate(context, begin, end, least, most):
    """Compare the rate."""
    found = _sent(context, begin, end) / (end - begin)
    assert least <= found <= most, found


@behave.then(
    "in no {window:g} s from {begin:g} s on they send more than {most:d} "
    "requests"
)
def check_surge(context, window, begin, most):
    """Compare each window."""
    largest = max(
        _sent(context, at, at + window)
        for at in context.sent_at
        if at >= begin
    )
    assert largest <= most, largest
