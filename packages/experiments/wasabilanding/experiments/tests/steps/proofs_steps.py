"""Steps for the catalogue of proofs."""

import pathlib

import behave

from wasabilanding.experiments import proofs

ROOT = pathlib.Path()


@behave.when("the catalogue of proofs is read")
def read(context):
    """Read the catalogue."""
    context.proofs = proofs.PROOFS
    assert context.proofs


@behave.then("every scenario is found in its feature file")
def check_scenarios(context):
    """Check that every scenario exists."""
    missing_scenarios = [
        proof.scenario
        for proof in context.proofs
        if not proofs.scenario_exists(ROOT, proof)
    ]
    assert not missing_scenarios, missing_scenarios


@behave.when("the page of proofs is rendered")
def make(context):
    """Render the page."""
    context.page = proofs.render(ROOT)


@behave.then("it equals docs/PROOFS.md")
def compare(context):
    """Compare the rendered page with the committed one."""
    committed = (ROOT / "docs/PROOFS.md").read_text()
    assert committed == context.page, "run bin/generate-docs"
