"""Steps for merging node state."""

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import merging_machine

from wasabilanding import configuration
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model

NAMES = strategies.sampled_from(["a", "b"])
SMALL = strategies.integers(0, 4)

UPDATES = strategies.one_of(
    strategies.builds(
        membership.Node,
        name=NAMES,
        incarnation=SMALL,
        failure_domain=strategies.just("prov"),
        address=strategies.just("x:1"),
        leaving=strategies.booleans(),
        heartbeat=SMALL,
    ),
    strategies.builds(configuration.Configuration, revision=SMALL),
    strategies.builds(model.DomainRecord, NAMES, revision=SMALL),
    strategies.builds(knowledge.VmListing, NAMES, revision=SMALL),
    strategies.builds(
        model.VmReport,
        vm=NAMES,
        state=strategies.just(model.VmState.IDLE),
        observed_at=strategies.floats(0.0, 4.0),
    ),
)


def _merge(updates):
    table = membership.MemberTable(membership.Node("own", 1, "prov", "o:1"))
    known = knowledge.ClusterState()
    merge_by_type = {
        membership.Node: table.learn,
        configuration.Configuration: known.learn_configuration,
        model.DomainRecord: known.learn_record,
        knowledge.VmListing: known.learn_listing,
        model.VmReport: known.learn_report,
    }
    for entry in updates:
        merge_by_type[type(entry)](entry)
    return (
        table.others,
        known.configuration,
        dict(known.records),
        dict(known.listings),
        dict(known.reports),
    )


@behave.when(
    "{examples:d} runs of {steps:d} steps are drawn for {nodes:d} nodes"
)
def draw_runs(context, examples, steps, nodes):
    """Run the state machine."""
    context.broken = None
    try:
        stateful.run_state_machine_as_test(
            merging_machine.make_machine(nodes),
            settings=merging_machine.settings(examples, steps),
        )
    except AssertionError as error:
        context.broken = error


@behave.then("no run breaks an invariant")
def check_runs(context):
    """Raise the failure of the run that broke one."""
    if context.broken is not None:
        raise context.broken


@behave.when("updates are merged in two orders, some of them twice")
def merge_in_orders(context):
    """Draw updates, an order and duplicates."""
    context.broken = None

    @merging_machine.settings(examples=300, steps=1)
    @hypothesis.given(strategies.data())
    def compare(data):
        updates = data.draw(strategies.lists(UPDATES, max_size=12))
        reordered = data.draw(strategies.permutations(updates + updates[:4]))
        assert _merge(updates) == _merge(reordered), (updates, reordered)

    try:
        compare()
    except AssertionError as error:
        context.broken = error


@behave.then("both member tables and both cluster states are equal")
def check_orders(context):
    """Raise the failure with the orders that differ."""
    if context.broken is not None:
        raise context.broken
