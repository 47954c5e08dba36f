"""Steps for the reference pages."""

import pathlib

import behave

from wasabilanding.command import references

OUTDATED_MESSAGE = "run bin/generate-docs"


@behave.when("the page {path} is generated")
def generate(context, path):
    """Generate the page."""
    texts = {page.path: page.text for page in references.pages()}
    context.path = path
    context.generated = texts[path]


@behave.then("it equals the committed page")
def compare(context):
    """Compare the generated page with the committed one."""
    committed = pathlib.Path(context.path).read_text()
    assert committed == context.generated, OUTDATED_MESSAGE
