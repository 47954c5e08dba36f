"""Steps for the reference pages."""

import pathlib

import behave

from wasabilanding.command import references

OUTDATED_MESSAGE = "run bin/generate-docs"


@behave.when("the page {path} is made anew")
def generate(context, path):
    """Make the page."""
    texts = {page.path: page.text for page in references.pages()}
    context.path = path
    context.made = texts[path]


@behave.then("it equals the committed one")
def compare(context):
    """Compare the page."""
    committed = pathlib.Path(context.path).read_text()
    assert committed == context.made, OUTDATED_MESSAGE
