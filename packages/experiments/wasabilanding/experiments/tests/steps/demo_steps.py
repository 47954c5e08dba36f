"""Steps for the demos."""

import pathlib
import tempfile

import behave

from wasabilanding.experiments import demo
from wasabilanding.experiments.installation import demo as installation_demo
from wasabilanding.experiments import violations


@behave.when("the demo runs")
def run(context):
    """Run the demo as separate processes."""
    context.broken_promise = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            demo.run_demo(pathlib.Path(folder))
        except violations.PropertyViolated as error:
            context.broken_promise = error


@behave.when("the demo of the gateways runs")
def run_installation(context):
    """Run the demo of the gateways as separate processes."""
    context.broken_promise = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            installation_demo.run_demo(
                pathlib.Path(folder), demo.print_progress
            )
        except violations.PropertyViolated as error:
            context.broken_promise = error


@behave.then("it reports no broken promise")
def check_no_broken_promise(context):
    """Check that the demo raised no broken promise."""
    assert context.broken_promise is None, context.broken_promise
