"""Steps for the retry budget."""

import behave

from wasabilanding import retries

SERVICE = "escriba"


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
        for _ in range(requests):
            budget.deposit(SERVICE)
            context.made += budget.spend(SERVICE)


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
    context.budget.deposit(SERVICE)


@behave.when("it is shared by {nodes:d} nodes with a slack of {slack:d}")
def share(context, nodes, slack):
    """Set the parameters for the number of nodes."""
    context.budget.parameters = retries.node_budget(0.2, slack, nodes)


@behave.then("{count:d} retry is allowed")
def check_count(context, count):
    """Take tokens until none is left."""
    made = [context.budget.spend(SERVICE) for _ in range(20)].count(True)
    assert made == count, made
