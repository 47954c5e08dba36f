"""Steps for the budget of retries."""

import behave

from wasabilanding import retries

SERVICE = "escriba"


@behave.given("{nodes:d} nodes that know of each other")
def given_nodes(context, nodes):
    """Note the number of nodes."""
    context.nodes = nodes


@behave.given(
    "an allowance of {ratio:g} for each request and {slack:d} on top"
)
def given_allowance(context, ratio, slack):
    """Make a budget for each node, once the nodes are known."""
    context.ratio = ratio
    context.slack = slack
    parameters = retries.node_budget(ratio, slack, context.nodes)
    context.budgets = [
        retries.RetryBudget(parameters) for _ in range(context.nodes)
    ]


@behave.when(
    "each node gets {requests:d} requests, all of which fail, in a window"
)
def fail_all(context, requests):
    """Retry each request once where the budget allows it."""
    context.requests = requests
    context.made = 0
    for budget in context.budgets:
        for _ in range(requests):
            budget.deposit(SERVICE)
            context.made += budget.spend(SERVICE)


@behave.then(
    "at most the allowed retries are made, and at least {least:d} of them"
)
def check_made(context, least):
    """Compare the retries with the allowance."""
    sent = context.requests * context.nodes
    allowed = context.ratio * sent + context.slack
    assert least <= context.made <= allowed, (context.made, allowed)


@behave.given("a budget with {tokens:d} tokens for one service")
def given_budget(context, tokens):
    """Make a budget that is full."""
    parameters = retries.BucketParameters(initial=tokens, capacity=tokens)
    context.budget = retries.RetryBudget(parameters)
    context.budget.deposit(SERVICE)


@behave.when("it is shared by {nodes:d} nodes with a slack of {slack:d}")
def share(context, nodes, slack):
    """Learn of the other nodes."""
    context.budget.parameters = retries.node_budget(0.2, slack, nodes)


@behave.then("{count:d} retry may be made")
def check_count(context, count):
    """Spend until nothing is left."""
    made = [context.budget.spend(SERVICE) for _ in range(20)].count(True)
    assert made == count, made
