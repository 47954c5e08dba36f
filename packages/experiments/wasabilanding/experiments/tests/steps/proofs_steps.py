"""Steps for the list of what is proved."""

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
def look_up(context):
    """Look every scenario up."""
    missing = [
        proof.scenario
        for proof in context.proofs
        if not proofs.scenario_exists(ROOT, proof)
    ]
    assert not missing, missing


@behave.when("the page of proofs is made anew")
def make(context):
    """Make the page."""
    context.page = proofs.render(ROOT)


@behave.then("it equals docs/PROOFS.md")
def compare(context):
    """Compare the page."""
    committed = (ROOT / "docs/PROOFS.md").read_text()
    assert committed == context.page, "run bin/generate-docs"
