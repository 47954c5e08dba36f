"""Steps for the placing of requests."""

import behave

from wasabilanding.experiments import placing

SEED = 1


def _late(pattern, policy, seed):
    """Return the share of requests that start late or are refused."""
    found = placing.simulate(
        placing.PATTERNS[pattern], placing.POLICIES[policy], seed
    )
    return found.late + found.refused


@behave.when('the load pattern "{pattern}" is simulated with seed {seed:d}')
def simulate(context, pattern, seed):
    """Simulate a load pattern with the gateway's policy."""
    context.pattern = pattern
    context.late = _late(pattern, "free slots", seed)


@behave.then(
    'at most {share:g} of those that the policy "{policy}" makes late are late'
)
def check_late(context, share, policy):
    """Compare with another policy under the same load."""
    other = _late(context.pattern, policy, SEED)
    assert context.late <= share * other, (context.late, other)
