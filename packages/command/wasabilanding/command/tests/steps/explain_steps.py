"""Steps for tracing one request through the logs."""

import json
import pathlib
import tempfile

import behave
import typer.testing

from wasabilanding.command import main

LOGS = {
    "a.log": (
        '{"created": 2.0, "node": "a", "request": "r1", '
        '"message": "request ends with 200", "runs": 2}',
        '{"created": 1.0, "node": "a", "request": "r1", '
        '"message": "attempt failed", "endpoint": "e1"}',
        "not a log line r1",
    ),
    "b.log": (
        ' 3.5 b {"created": 3.0, "node": "b", "request": "r2", '
        '"message": "request ends with 503"}',
        json.dumps({"node": "b", "message": "r1 is named elsewhere"}),
        '{"request": "r1", broken',
    ),
}


@behave.given("logs with lines of requests r1 and r2 on two nodes")
def given_logs(context):
    """Write two log files."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    for name, lines in LOGS.items():
        (context.folder / name).write_text("\n".join(lines))


def _run(context, request, names):
    paths = [str(context.folder / name) for name in names]
    runner = typer.testing.CliRunner()
    context.process = runner.invoke(
        main.application, ["explain", request, *paths]
    )


@behave.when("request {request} is explained")
def explain(context, request):
    """Run the command on both log files."""
    _run(context, request, LOGS)


@behave.when("request {request} is explained from a file that does not exist")
def explain_missing(context, request):
    """Run the command on a file that is missing."""
    _run(context, request, ["missing.log"])


@behave.then("it prints {lines} and ends with {code:d}")
def check_printed(context, lines, code):
    """Look for the lines in order."""
    remaining = context.process.output
    for line in lines.split("; "):
        assert line in remaining, context.process.output
        remaining = remaining.partition(line)[2]
    assert context.process.exit_code == code, context.process.output
