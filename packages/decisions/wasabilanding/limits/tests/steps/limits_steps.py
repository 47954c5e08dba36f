"""Steps for admission and fair queueing."""

import collections

import behave
import hypothesis.stateful

from wasabilanding import configuration
from wasabilanding.experiments import fuzz
from wasabilanding import limits
from wasabilanding.limits import wait_correction
from wasabilanding import model

MAX_IN_FLIGHT = 30
CI_EXAMPLES = 100
CUSTOMERS = ("salon", "officer", "desk")


def _numbers(text):
    return [float(part) for part in text.split(",")]


def _request(
    request_id, customer="salon", tokens=10.0, priority=5, deadline=1e6
):
    return limits.AdmissionRequest(
        request_id, "drafts", customer, tokens, priority, deadline
    )


def _refill(context):
    for index, weight in enumerate(context.weights):
        while context.waiting[index] < 2:
            context.number += 1
            request = _request(
                f"{index}/{context.number}", str(index), context.sizes[index]
            )
            context.queue.push(request, weight)
            context.waiting[index] += 1


def _serve(context):
    request = context.queue.heads()[0]
    context.queue.serve(request.request_id)
    index = int(request.customer)
    context.waiting[index] -= 1
    return index


@behave.given(
    "a queue of customers with weights {weights} and backlogs of {sizes} "
    "tokens"
)
def busy_queue(context, weights, sizes):
    """Create the queue; the backlog is filled when it is served."""
    context.weights = _numbers(weights)
    context.sizes = _numbers(sizes)
    context.queue = limits.FairQueue()
    context.waiting = collections.Counter()
    context.number = 0


@behave.when("{served:d} requests are served")
def serve(context, served):
    """Serve requests while refilling the backlog."""
    context.tokens = collections.Counter()
    for _ in range(served):
        _refill(context)
        index = _serve(context)
        context.tokens[index] += context.sizes[index]


@behave.then(
    "the tokens served per weight differ by at most one request per customer"
)
def check_shares(context):
    """Compare with the fairness bound of start-time fair queueing."""
    shares = [
        context.tokens[index] / weight
        for index, weight in enumerate(context.weights)
    ]
    steps = [s / w for s, w in zip(context.sizes, context.weights)]
    bound = sum(sorted(steps)[-2:])
    assert max(shares) - min(shares) <= bound, (shares, bound)


@behave.when(
    "only the first customer is served {alone:d} times and then both "
    "{both:d} times"
)
def serve_alone(context, alone, both):
    """Serve the second customer once, the first alone, then both."""
    context.queue.push(_request("earlier", "1"), 1.0)
    context.queue.serve("earlier")
    for number in range(alone):
        context.queue.push(_request(f"alone/{number}", "0"), 1.0)
        context.queue.serve(context.queue.heads()[0].request_id)
    context.served = collections.Counter()
    for _ in range(both):
        _refill(context)
        context.served[_serve(context)] += 1


@behave.then(
    "the second customer is served between {least:d} and {most:d} of the "
    "latter times"
)
def check_credit(context, least, most):
    """Compare how often the second customer was served."""
    assert least <= context.served[1] <= most, context.served


@behave.given(
    "1 slot that takes 0.1 s per token and {waiting:d} earlier requests of "
    "10 tokens"
)
def one_slot(context, waiting):
    """Provide an observed slot time and fill the slot and the queue."""
    context.admission = limits.Admission(MAX_IN_FLIGHT)
    context.customer = configuration.Customer()
    context.now = 100.0
    context.admission.set_limit("drafts", 1, 0.0)
    context.admission.offer(_request("observed"), context.customer, 0.0)
    context.admission.finish("observed", 1.0, 10.0)
    for number in range(waiting):
        _offer(context, _request(f"before-{number}", "before"))


def _offer(context, request):
    found = context.admission.offer(request, context.customer, context.now)
    return {decision.request_id: decision for decision in found}


@behave.when(
    "a request of 10 tokens with a deadline in {deadline:g} s arrives"
)
def arrive(context, deadline):
    """Offer a request with the deadline."""
    request = _request("new", "before", deadline=context.now + deadline)
    context.decision = _offer(context, request).get("new")


@behave.then("it is admitted")
def check_admitted(context):
    """Expect the request to run."""
    assert isinstance(context.decision, limits.Admitted), context.decision


@behave.then("it waits")
def check_waits(context):
    """Expect no decision."""
    assert context.decision is None, context.decision


@behave.then("it is refused with Retry-After {seconds:d}")
def check_refused(context, seconds):
    """Check the verdict, the reason and the retry delay."""
    outcome = context.decision.outcome
    assert outcome.verdict is model.Verdict.NOT_RUN
    assert outcome.reason is model.Reason.OVERLOADED
    assert round(outcome.retry_after_s) == seconds, outcome


@behave.given(
    'customer "{name}" waits with priority {priority:d} and a deadline in '
    "{deadline:g} s"
)
def wait(context, name, priority, deadline):
    """Offer a request of a customer and expect it to wait."""
    request = _request(
        f"waiting {name}", name, 10.0, priority, context.now + deadline
    )
    assert not _offer(context, request)
    context.decisions = {}


@behave.when(
    'customer "{name}" sends {count:d} requests of priority {priority:d} '
    "with a deadline in {deadline:g} s"
)
def send(context, name, count, priority, deadline):
    """Offer requests of a customer."""
    for number in range(count):
        request = _request(
            f"new {number}", name, 10.0, priority, context.now + deadline
        )
        context.decisions |= _offer(context, request)


@behave.then('the waiting request of "{name}" is refused as overloaded')
def check_pushed_out(context, name):
    """Check that the waiting request was refused."""
    found = context.decisions[f"waiting {name}"]
    assert found.outcome.reason is model.Reason.OVERLOADED


@behave.then('the waiting request of "{name}" still waits')
def check_still_waits(context, name):
    """Expect no decision."""
    assert f"waiting {name}" not in context.decisions


@behave.then("its wait ends in {seconds:g} s with a final outcome")
def check_give_up(context, seconds):
    """Check when the wait ends and with which outcome."""
    request_id = "waiting salon"
    at = context.admission.give_up_at(request_id)
    assert abs(at - context.now - seconds) < 1e-6, at - context.now
    (decision,) = context.admission.give_up(request_id, at)
    assert decision.outcome.verdict is model.Verdict.NOT_RUN
    assert decision.outcome.retry_after_s >= 1.0
    assert context.admission.waiting == 0


@behave.given("{slots:d} slots and customers of weight 1,1")
def slots(context, slots):
    """Create an admission control with a limit."""
    context.admission = limits.Admission(1000)
    context.admission.set_limit("drafts", slots, 0.0)
    context.customer = configuration.Customer()
    context.now = 0.0


@behave.when(
    "the first customer sends {wanted:d} requests while the second runs one"
)
def ask_for_many(context, wanted):
    """Offer one request of the second and many of the first customer."""
    _offer(context, _request("second/0", "second"))
    context.decisions = {}
    for number in range(wanted):
        context.decisions |= _offer(
            context, _request(f"first/{number}", "first")
        )


@behave.then("{running:d} requests of the first customer run")
def check_running(context, running):
    """Compare the number of decisions; each admits a request."""
    assert len(context.decisions) == running, len(context.decisions)


@behave.then("a request of the second customer is admitted immediately")
def check_second(context):
    """Offer another request of the second customer."""
    decision = _offer(context, _request("second/1", "second"))["second/1"]
    assert decision.within_share


@behave.when("a customer with a limit of {bound:d} sends 3 requests")
def ask_beyond_bound(context, bound):
    """Offer requests of a customer with a limit."""
    context.customer = configuration.Customer(max_in_flight=bound)
    context.third = [
        _offer(context, _request(f"{number}", "salon")) for number in range(3)
    ][2]["2"]


@behave.then("the third request is refused with reason customer_limit")
def check_bound(context):
    """Check the reason."""
    reason = context.third.outcome.reason
    assert reason is model.Reason.CUSTOMER_LIMIT


@behave.given("predicted waits of 1 s and observed waits of {waited:g} s")
def given_predictions(context, waited):
    """Add the observations to the correction."""
    context.correction = wait_correction.WaitCorrection()
    for _ in range(200):
        context.correction.observe("salon", 5, 1.0, waited)


@behave.then("a predicted wait of 2 s is corrected to {corrected:g} s")
def check_correction(context, corrected):
    """Compare the corrected wait."""
    found = context.correction.corrected_s("salon", 5, 2.0)
    assert abs(found - corrected) < 1e-6, found


class AdmissionMachine(hypothesis.stateful.RuleBasedStateMachine):
    """State machine that applies events to an admission control."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = limits.Admission(MAX_IN_FLIGHT)
        self.limit = 4
        self.highest = 4
        self.now = 0.0
        self.number = 0
        self.waiting: dict[str, limits.AdmissionRequest] = {}
        self.running: dict[str, limits.AdmissionRequest] = {}
        self._decide(self.admission.set_limit("drafts", 4, 0.0))

    def _decide(self, decisions) -> None:
        for decision in decisions:
            request = self.waiting.pop(decision.request_id)
            if isinstance(decision, limits.Admitted):
                self.running[decision.request_id] = request
            else:
                outcome = decision.outcome
                assert outcome.verdict is model.Verdict.NOT_RUN
                assert outcome.retry_after_s >= 1.0

    @hypothesis.stateful.rule(
        customer=hypothesis.strategies.sampled_from(CUSTOMERS),
        tokens=hypothesis.strategies.integers(1, 500),
        priority=hypothesis.strategies.integers(0, 9),
        patience=hypothesis.strategies.floats(0.01, 60.0),
        weight=hypothesis.strategies.sampled_from((0.1, 1.0, 10.0)),
    )
    def offer(self, customer, tokens, priority, patience, weight):
        """Offer a request."""
        self.number += 1
        request_id = str(self.number)
        request = _request(
            request_id, customer, float(tokens), priority, self.now + patience
        )
        self.waiting[request_id] = request
        share = configuration.Customer(weight=weight)
        self._decide(self.admission.offer(request, share, self.now))

    @hypothesis.stateful.rule(
        index=hypothesis.strategies.integers(0, 99),
        completed=hypothesis.strategies.booleans(),
    )
    def finish(self, index, completed):
        """Finish a running request."""
        if self.running:
            request_id = sorted(self.running)[index % len(self.running)]
            request = self.running.pop(request_id)
            tokens = request.tokens if completed else None
            self._decide(self.admission.finish(request_id, self.now, tokens))

    @hypothesis.stateful.rule(index=hypothesis.strategies.integers(0, 99))
    def withdraw(self, index):
        """Withdraw a waiting request twice."""
        if self.waiting:
            request_id = sorted(self.waiting)[index % len(self.waiting)]
            del self.waiting[request_id]
            self.admission.withdraw(request_id)
            self.admission.withdraw(request_id)

    @hypothesis.stateful.rule(index=hypothesis.strategies.integers(0, 99))
    def give_up(self, index):
        """End the wait of a request."""
        if self.waiting:
            request_id = sorted(self.waiting)[index % len(self.waiting)]
            self._decide(self.admission.give_up(request_id, self.now))
            assert request_id not in self.waiting
            assert not self.admission.give_up(request_id, self.now)

    @hypothesis.stateful.rule(
        limit=hypothesis.strategies.integers(1, 12),
    )
    def set_limit(self, limit):
        """Change the limit."""
        self.limit = limit
        self.highest = max(limit, len(self.running))
        self._decide(self.admission.set_limit("drafts", limit, self.now))

    @hypothesis.stateful.rule(seconds=hypothesis.strategies.floats(0, 90.0))
    def pass_time(self, seconds):
        """Advance the time, possibly beyond deadlines."""
        self.now += seconds

    @hypothesis.stateful.invariant()
    def counts_agree(self):
        """Each request in flight either runs or waits."""
        total = len(self.running) + len(self.waiting)
        assert self.admission.in_flight == total <= MAX_IN_FLIGHT
        assert self.admission.waiting == len(self.waiting)

    @hypothesis.stateful.invariant()
    def limit_holds(self):
        """No more requests run than the limits allowed."""
        assert len(self.running) <= max(self.highest, self.limit)

    @hypothesis.stateful.invariant()
    def no_slot_idles(self):
        """No request waits while slots open to all customers are free."""
        if len(self.running) < max(1, int(self.limit * 0.75)):
            assert not self.waiting


@behave.when("admission events occur in any order")
def run_machine(context):
    """Run the state machine."""
    context.error = None
    try:
        hypothesis.stateful.run_state_machine_as_test(
            AdmissionMachine, settings=fuzz.settings(CI_EXAMPLES)
        )
    except AssertionError as error:
        context.error = error


@behave.then("no invariant of admission is violated")
def check_machine(context):
    """Expect no counterexample."""
    if context.error:
        raise context.error
