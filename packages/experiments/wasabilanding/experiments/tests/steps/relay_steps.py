"""Steps for the benchmark of the token relay."""

import behave

from wasabilanding.experiments import relay_benchmark

RATE = 125
LENGTH = 50


@behave.when("{streams:d} streams of 50 tokens pass through the {kind} relay")
def relay(context, streams, kind):
    """Measure one case."""
    context.tokens = streams * LENGTH
    context.result = relay_benchmark.measure(
        kind, RATE, streams, LENGTH / RATE
    )


@behave.then("every token arrives and the cost per part is measured")
def check(context):
    """Check the token count and the cost, whose value is machine-dependent."""
    result = context.result
    assert result.tokens == context.tokens, result
    assert result.cost_us > 0.0, result
