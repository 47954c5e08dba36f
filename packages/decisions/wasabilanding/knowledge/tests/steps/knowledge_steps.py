"""Steps for the cluster state of one node."""

import behave

from wasabilanding import knowledge
from wasabilanding import model


def _learn_report(known, at, leaving=False):
    known.learn_report(
        model.VmReport(
            "vm-1", model.VmState.READY, leaving=leaving, observed_at=at
        )
    )


def _learn_list(known, revision, leaving):
    vm = model.Vm("vm-1", "http://vm-1", "prov", "f", leaving=leaving)
    known.learn_listing(knowledge.VmListing("prov", revision, (vm,)))


def _list_and_report(known):
    _learn_list(known, 1, leaving=True)
    _learn_report(known, at=2.0)


def _list_and_withdraw(known):
    _learn_list(known, 1, leaving=True)
    _learn_list(known, 2, leaving=False)
    _learn_report(known, at=2.0)


EVENTS = {
    "nothing happens": lambda known: None,
    "the platform lists it as leaving": lambda known: _learn_list(
        known, 1, leaving=True
    ),
    "it is listed as leaving and reports again": _list_and_report,
    "its leaving is listed and taken back": _list_and_withdraw,
}


@behave.given('a report of VM "vm-1" that says {report}')
def given_report(context, report):
    """Learn the report."""
    context.known = knowledge.ClusterState()
    _learn_report(context.known, 1.0, report == "leaving")


@behave.when("{event}")
def happen(context, event):
    """Apply the event."""
    EVENTS[event](context.known)


@behave.then('VM "vm-1" is known as {state}')
def check_state(context, state):
    """Compare the known report."""
    report = context.known.reports["vm-1"]
    found = "leaving" if report.leaving else "staying"
    assert state == found, report
