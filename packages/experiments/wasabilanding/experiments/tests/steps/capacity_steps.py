"""Steps for the capacity page."""

import pathlib

import behave

from wasabilanding.experiments import capacity

ROOT = pathlib.Path()


@behave.when("the capacity page is rendered from docs/capacity.json")
def render(context):
    """Render the page."""
    context.page = capacity.render(ROOT)


@behave.then("it equals docs/CAPACITY.md")
def compare(context):
    """Compare the rendered page with the committed one."""
    committed = (ROOT / "docs/CAPACITY.md").read_text()
    assert committed == context.page, "run bin/generate-docs"


@behave.when("a requirement needs {needed:d} of a budget of {budget:d}")
def make_requirement(context, needed, budget):
    """Create a requirement."""
    context.requirement = capacity.Requirement(
        "node", "work", needed, budget, "", "", ""
    )


@behave.then("its verdict is {verdict}")
def check_verdict(context, verdict):
    """Check the verdict of the requirement."""
    assert context.requirement.verdict == verdict, context.requirement.verdict
