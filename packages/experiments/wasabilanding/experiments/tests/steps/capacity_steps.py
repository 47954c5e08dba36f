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
    """Compare the page."""
    committed = (ROOT / "docs/CAPACITY.md").read_text()
    assert committed == context.page, "run bin/generate-docs"


@behave.when("a line needs {needed:d} of a budget of {budget:d}")
def make_line(context, needed, budget):
    """Make a line."""
    context.line = capacity.Requirement(
        "node", "work", needed, budget, "", "", ""
    )


@behave.then("the line is told as {verdict}")
def check_verdict(context, verdict):
    """Compare the verdict."""
    assert context.line.verdict == verdict, context.line.verdict
