"""Steps for merging what nodes know."""

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

NEWS = strategies.one_of(
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


def _merge(news):
    table = membership.MemberTable(membership.Node("own", 1, "prov", "o:1"))
    known = knowledge.ClusterState()
    learn = {
        membership.Node: table.learn,
        configuration.Configuration: known.learn_configuration,
        model.DomainRecord: known.learn_record,
        knowledge.VmListing: known.learn_listing,
        model.VmReport: known.learn_report,
    }
    for entry in news:
        learn[type(entry)](entry)
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
    """Show the run that broke one."""
    if context.broken is not None:
        raise context.broken


@behave.when("news is merged in any two orders, some of it twice")
def merge_in_orders(context):
    """Draw news, an order and duplicates."""
    context.broken = None

    @merging_machine.settings(examples=300, steps=1)
    @hypothesis.given(strategies.data())
    def compare(data):
        news = data.draw(strategies.lists(NEWS, max_size=12))
        again = data.draw(strategies.permutations(news + news[:4]))
        assert _merge(news) == _merge(again), (news, again)

    try:
        compare()
    except AssertionError as error:
        context.broken = error


@behave.then("both tables and both knowledges are equal")
def check_orders(context):
    """Show the orders that differ."""
    if context.broken is not None:
        raise context.broken
