"""Steps for the retry budget."""

import random

import behave

from wasabilanding import retries

SERVICE = "escriba"
WINDOW_S = 10
# The load of all nodes, in requests a second for each, and whether their
# requests fail, change at this interval.
SPAN_S = 5
LOADS = (0.05, 0.3, 1.0, 3.0, 8.0)
FAILING_SHARE = 0.6
# Seconds in which retries are late begin here, in a play of this length.
LATE_FROM_S = 20
LATE_PLAY_S = 40


@behave.given("{nodes:d} nodes that know the number of nodes")
def given_nodes(context, nodes):
    """Store the number of nodes."""
    context.nodes = nodes


@behave.given(
    "an allowance of {ratio:g} retries per request and {slack:d} additional "
    "ones"
)
def given_allowance(context, ratio, slack):
    """Create a budget for each node."""
    context.ratio = ratio
    context.slack = slack
    parameters = retries.node_budget(ratio, slack, context.nodes)
    context.budgets = [
        retries.RetryBudget(parameters) for _ in range(context.nodes)
    ]


@behave.when("{requests:d} requests fail on each node")
def fail_all(context, requests):
    """Retry each request once if the budget allows it."""
    context.requests = requests
    context.made = 0
    for budget in context.budgets:
        for number in range(requests):
            now = 10.0 * number / requests
            budget.deposit(SERVICE, now)
            context.made += budget.spend(SERVICE, now)


@behave.when(
    "{requests:d} requests fail on each node after each of {starts:d} starts"
)
def fail_after_starts(context, requests, starts):
    """Let all nodes start again, which do not know their number then."""
    fail_all(context, requests)
    for _ in range(starts - 1):
        parameters = retries.node_budget(
            context.ratio, context.slack, is_first_start=False
        )
        context.budgets = [
            retries.RetryBudget(parameters) for _ in context.budgets
        ]
        made = context.made
        fail_all(context, requests)
        context.made += made
    context.requests = requests * starts


@behave.when(
    "requests come at random loads for {seconds:d} s and fail for some spans"
)
def fail_in_spans(context, seconds):
    """Retry requests once, each second at a load that is drawn by node."""
    rng = random.Random(1)
    context.sent = []
    context.retried = []
    context.failed_requests = 0
    load = 0.0
    is_failing = False
    for second in range(seconds):
        if second % SPAN_S == 0:
            load = rng.choice(LOADS)
            is_failing = rng.random() < FAILING_SHARE
        sent = retried = 0
        for budget in context.budgets:
            for _ in range(int(rng.expovariate(1.0) * load)):
                sent += 1
                budget.deposit(SERVICE, second)
                retried += is_failing and budget.spend(SERVICE, second)
        context.sent.append(sent)
        context.failed_requests += sent * is_failing
        context.retried.append(retried)


@behave.when(
    "{rate:d} requests a second fail, and {share:g} of the retries of "
    "{seconds:d} s arrive at their end"
)
def arrive_late(context, rate, share, seconds):
    """Retry requests as often as the budgets allow, at random nodes."""
    rng = random.Random(1)
    late = range(LATE_FROM_S, LATE_FROM_S + seconds)
    context.sent = [rate] * LATE_PLAY_S
    context.retried = [0] * LATE_PLAY_S
    for second in range(LATE_PLAY_S):
        for _ in range(rate):
            budget = rng.choice(context.budgets)
            budget.deposit(SERVICE, second)
            while budget.spend(SERVICE, second):
                is_late = second in late and rng.random() < share
                context.retried[late.stop if is_late else second] += 1


def _windows(counts):
    """Return the sums of all spans of 10 s, by the second of their begin."""
    return [
        sum(counts[at : at + WINDOW_S])
        for at in range(len(counts) - WINDOW_S + 1)
    ]


@behave.then("in no 10 s more retries are made than allowed")
def check_windows(context):
    """Compare each span with the requests of three spans."""
    sent = _windows(context.sent)
    for at, made in enumerate(_windows(context.retried)):
        begins = (at, max(at - WINDOW_S // 2, 0), max(at - WINDOW_S, 0))
        requests = max(sent[begin] for begin in begins)
        allowed = context.ratio * requests + context.slack
        assert made <= allowed, (at, made, allowed)


@behave.then("at least {share:g} of the failed requests are retried")
def check_share(context, share):
    """Compare the retries with the requests that failed."""
    made = sum(context.retried)
    assert made >= share * context.failed_requests, (
        made,
        context.failed_requests,
    )


@behave.then("at least {least:d} and at most the allowed retries are made")
def check_made(context, least):
    """Compare the number of retries with the allowance."""
    sent = context.requests * context.nodes
    allowed = context.ratio * sent + context.slack
    assert least <= context.made <= allowed, (context.made, allowed)


@behave.given("a budget with {tokens:d} tokens for one service")
def given_budget(context, tokens):
    """Create a full budget."""
    parameters = retries.BucketParameters(initial=tokens, capacity=tokens)
    context.budget = retries.RetryBudget(parameters)
    context.budget.deposit(SERVICE, 0.0)


@behave.when("it is shared by {nodes:d} nodes with a slack of {slack:d}")
def share(context, nodes, slack):
    """Set the parameters for the number of nodes."""
    context.budget.parameters = retries.node_budget(0.2, slack, nodes)


@behave.then("{count:d} retry is allowed")
def check_count(context, count):
    """Take tokens until none is left."""
    made = [context.budget.spend(SERVICE, 0.0) for _ in range(20)].count(True)
    assert made == count, made
