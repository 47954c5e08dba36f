"""Steps for the history of the configuration in force."""

import behave

from wasabilanding.experiments import cluster
from wasabilanding.experiments.histories import configuration
from wasabilanding.experiments.histories import configuration_run

ALL_FAULTS = (
    "replace",
    "outage",
    "slow store",
    "slow network",
    "lost answers",
    "cut from platform",
    "cut from others",
    "cut from both",
)
STEP_S = 1.0
CHANGES = {1: {"first"}, 2: {"first", "second"}, 3: {"first", "second", "x"}}


def _make_sample(time, revision, **changes):
    fields = {
        "time": time,
        "node": "n",
        "incarnation": 1,
        "revision": revision,
        "changes": frozenset(CHANGES[revision]),
        "ready": True,
        "reachable": True,
        **changes,
    }
    return configuration.Sample(**fields)


def _make_samples(*revisions, **changes):
    return [
        _make_sample(STEP_S * index, revision, **changes)
        for index, revision in enumerate(revisions)
    ]


STALE_REVISIONS = (1,) * 9
MISSING_CHANGE = {"changes": frozenset(("first", "x"))}
HISTORIES = {
    "nothing is wrong": _make_samples(1, 1, 2, 2, 2, 2, 2, 2, 3),
    "a node goes back within one life": _make_samples(1, 2, 1, 2, 2, 2, 2),
    "a node goes back in its next life": [
        *_make_samples(1, 2, 2),
        _make_sample(3.0, 1, incarnation=2),
        _make_sample(4.0, 2, incarnation=2),
    ],
    "a node is not ready while it is behind": [
        *_make_samples(1, 2, 2),
        _make_sample(3.0, 1, incarnation=2, ready=False),
        _make_sample(4.0, 2, incarnation=2),
    ],
    "a node is behind for longer than the bound": _make_samples(
        *STALE_REVISIONS
    ),
    "a node is behind while it is out of reach": _make_samples(
        *STALE_REVISIONS, reachable=False
    ),
    "a node is replaced within the bound": [
        *_make_samples(1, 1, 1),
        *(_make_sample(3.0 + t, 1, incarnation=2) for t in range(4)),
    ],
    "one revision has two contents": [
        *_make_samples(1, 2, 2),
        _make_sample(
            1.0, 2, node="m", changes=frozenset(("first", "second", "other"))
        ),
    ],
    "an accepted change is missing later": [
        *_make_samples(1, 2, 2),
        _make_sample(3.0, 3, **MISSING_CHANGE),
    ],
}
ACCEPTED = configuration.AcceptedChange(1.0, 2, "second")


@behave.given("a history in which {name}")
def given_history(context, name):
    """Create the history from its samples."""
    samples = tuple(HISTORIES[name])
    context.history = configuration.History(samples, (ACCEPTED,))


@behave.when("the history is checked with a bound of {bound:g} s")
def check_history(context, bound):
    """Run the checker."""
    context.violations = configuration.check(context.history, bound)


@behave.then('it has violations of kind "{kind}"')
def check_kind(context, kind):
    """Compare the kinds of violations."""
    kinds = {violation.kind for violation in context.violations}
    assert kinds == {kind}, context.violations


@behave.then('it has violations of kind ""')
def check_none(context):
    """Check that there is no violation."""
    assert not context.violations, context.violations


@behave.when(
    "{operators:d} operators race on {nodes:d} nodes for {duration:g} s with "
    "{faults} and seed {seed:d}"
)
def run_operators(context, operators, nodes, duration, faults, seed):
    """Run concurrent operators under faults."""
    assert operators == configuration_run.OPERATORS
    names = ALL_FAULTS if faults == "all" else tuple(faults.split(", "))
    plan = configuration_run.RunPlan(names, seed, duration)
    context.history = cluster.run_seeded(
        configuration_run.record_run, plan, seed=seed
    )
    nodes_seen = {sample.node for sample in context.history.samples}
    assert len(nodes_seen) == nodes, nodes_seen


@behave.then("at least {count:d} changes were accepted")
def check_accepted(context, count):
    """Check the numbers of accepted changes and of measured delays."""
    assert len(context.history.accepted) >= count, context.history.accepted
    assert len(configuration.delays(context.history, 5.0)) >= count


@behave.then(
    "each was in force on every reachable node within {bound:g} s and none "
    "reverted"
)
def check_run(context, bound):
    """Check the history of the run."""
    violations = configuration.check(context.history, bound)
    assert not violations, violations
