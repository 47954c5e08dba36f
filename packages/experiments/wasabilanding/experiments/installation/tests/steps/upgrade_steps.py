"""Steps for upgrades from an earlier commit."""

import functools
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import behave

from wasabilanding.experiments.installation import earlier_sources
from wasabilanding.experiments.installation import shared_choices
from wasabilanding.experiments.installation import shared_messages
from wasabilanding.experiments.installation.tests import running
from wasabilanding.experiments.installation import upgrade

HTTP_OK = 200
# Compiles the modules, too, once instead of in each gateway.
FILE_PROGRAM = "from wasabilanding.gateway import main;print(main.__file__)"


@functools.cache
def _earlier():
    """Extract the sources once; return their folder, removed at the end."""
    owner = tempfile.TemporaryDirectory()
    folder = pathlib.Path(owner.name)
    earlier_sources.extract(earlier_sources.production_commit(), folder)
    path = subprocess.run(
        [sys.executable, "-c", FILE_PROGRAM],
        env={**os.environ, **earlier_sources.environment(folder)},
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    assert path.startswith(str(folder)), path
    return owner


@behave.given("the sources of the commit in production")
def given_sources(context):
    """Extract the sources; Python has been found to prefer them."""
    folder = pathlib.Path(_earlier().name)
    context.earlier = earlier_sources.environment(folder)


def _run(environment, module, *arguments, text=""):
    """Return what a program prints with some sources."""
    found = subprocess.run(
        [sys.executable, module.__file__, *arguments],
        env={**os.environ, **environment},
        input=text,
        capture_output=True,
        text=True,
    )
    assert not found.returncode, found.stderr
    return found.stdout


@behave.when(
    "{writer} sources write all messages and records, and {reader} sources "
    "read them"
)
def write_and_read(context, writer, reader):
    """Let one build write, and one read."""
    sources = {"today's": {}, "those": context.earlier}
    module = shared_messages
    written = _run(sources[writer], module, module.WRITE)
    read = _run(sources[reader], module, module.READ, text=written)
    context.written, context.read = json.loads(written), json.loads(read)


def _differences(written, read, path=""):
    """Yield the paths at which a reader has another value.

    Keys of the store and names of endpoints are keys of objects, too, so one
    that is missing from the values is a difference only in a list.
    """
    if isinstance(written, dict) and isinstance(read, dict):
        for key in written.keys() & read.keys():
            yield from _differences(written[key], read[key], f"{path}.{key}")
    elif isinstance(written, list) and len(written) == len(read):
        for number, pair in enumerate(zip(written, read)):
            yield from _differences(*pair, f"{path}.{number}")
    elif written != read:
        yield f"{path}: {written!r} is read as {read!r}"


@behave.then("each field that both know has its value")
def check_fields(context):
    """Compare what was written and what was understood."""
    differences = list(_differences(context.written, context.read))
    assert not differences, differences


@behave.then("they choose owners, homes and first nodes as today's do")
def check_choices(context):
    """Compare the choices line by line."""
    earlier, today = (
        _run(environment, shared_choices).splitlines()
        for environment in (context.earlier, {})
    )
    different = [pair for pair in zip(earlier, today) if len({*pair}) > 1]
    assert len(earlier) == len(today) and not different, different[:3]


@behave.when("the gateways are replaced by today's one by one, and back again")
def replace(context):
    """Run the upgrade and the rollback."""
    context.result = upgrade.Upgrade(
        context.earlier, running.make_folder(context)
    ).run()
    print(*context.result.actions, sep="\n")


@behave.then("at least {share:g} of the requests were answered with 200")
def check_served(context, share):
    """Compare the share of the answers."""
    statuses = context.result.statuses
    served = statuses.count(HTTP_OK) / len(statuses)
    counts = {status: statuses.count(status) for status in {*statuses}}
    print(f"answers by status: {counts}")
    assert served >= share, counts


@behave.then("no guarantee was violated")
def check_guarantees(context):
    """Check that there are no violations."""
    assert not context.result.violations, context.result.violations


@behave.then("no gateway logs that it did not understand something")
def check_logs(context):
    """Check that there are no such lines."""
    assert not context.result.bad_lines, context.result.bad_lines[:9]


@behave.then("gateways of both kinds have handed requests to others")
def check_relaying(context):
    """Check that the test has reached what it is for."""
    relayed = context.result.relayed
    print(f"requests handed on: {relayed}")
    assert len(relayed) == 2 and all(relayed), relayed


@behave.when(
    "the sources of the commit in production are read from a new repository"
)
def read_from_new(context):
    """Read a commit where there is none."""
    repository = running.make_folder(context)
    subprocess.run(["git", "init", "-q", str(repository)], check=True)
    commit = earlier_sources.production_commit()
    try:
        earlier_sources.extract(
            commit, running.make_folder(context), repository
        )
    except earlier_sources.MissingHistory as error:
        context.message = str(error)


@behave.then("the message says that a shallow clone lacks the commit")
def check_message(context):
    """Check what a reader of the failed test sees."""
    assert "whole history, no shallow clone" in context.message
    assert earlier_sources.production_commit() in context.message
