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


def _sample(time, revision, **changes):
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


def _samples(*revisions, **changes):
    return [
        _sample(STEP_S * index, revision, **changes)
        for index, revision in enumerate(revisions)
    ]


BEHIND = (1,) * 9
FORGETFUL = {"changes": frozenset(("first", "x"))}
PLANTS = {
    "nothing is wrong": _samples(1, 1, 2, 2, 2, 2, 2, 2, 3),
    "a node goes back within one life": _samples(1, 2, 1, 2, 2, 2, 2),
    "a node goes back in its next life": [
        *_samples(1, 2, 2),
        _sample(3.0, 1, incarnation=2),
        _sample(4.0, 2, incarnation=2),
    ],
    "a node is not ready while it is behind": [
        *_samples(1, 2, 2),
        _sample(3.0, 1, incarnation=2, ready=False),
        _sample(4.0, 2, incarnation=2),
    ],
    "a node is behind for longer than the bound": _samples(*BEHIND),
    "a node is behind while it is out of reach": _samples(
        *BEHIND, reachable=False
    ),
    "a node is replaced within the bound": [
        *_samples(1, 1, 1),
        *(_sample(3.0 + t, 1, incarnation=2) for t in range(4)),
    ],
    "one revision has two contents": [
        *_samples(1, 2, 2),
        _sample(
            1.0, 2, node="m", changes=frozenset(("first", "second", "other"))
        ),
    ],
    "an accepted change is missing later": [
        *_samples(1, 2, 2),
        _sample(3.0, 3, **FORGETFUL),
    ],
}
ACCEPTED = configuration.AcceptedChange(1.0, 2, "second")


@behave.given("a history in which {plant}")
def given_history(context, plant):
    """Make the history."""
    samples = tuple(PLANTS[plant])
    context.history = configuration.History(samples, (ACCEPTED,))


@behave.when("the history is checked with a bound of {bound:g} s")
def check_history(context, bound):
    """Check it."""
    context.violations = configuration.check(context.history, bound)


@behave.then('it has violations of kind "{kind}"')
def check_kind(context, kind):
    """Compare the kinds."""
    kinds = {violation.kind for violation in context.violations}
    assert kinds == {kind}, context.violations


@behave.then('it has violations of kind ""')
def check_none(context):
    """Look for no violation."""
    assert not context.violations, context.violations


@behave.when(
    "{operators:d} operators race on {nodes:d} nodes for {duration:g} s with "
    "{faults} and seed {seed:d}"
)
def race(context, operators, nodes, duration, faults, seed):
    """Run operators and faults."""
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
    """Count the accepted changes, and see that they were compared."""
    assert len(context.history.accepted) >= count, context.history.accepted
    assert len(configuration.delays(context.history, 5.0)) >= count


@behave.then(
    "every reachable node had them in force within {bound:g} s and none went "
    "back"
)
def check_run(context, bound):
    """Check the history."""
    violations = configuration.check(context.history, bound)
    assert not violations, violations
