"""Steps for the operators' command line."""

import json
import shlex
import subprocess

import behave

from wasabilanding.experiments import launcher

COMMAND_TIMEOUT_S = 20.0
WIDE_TERMINAL = {"COLUMNS": "200"}


def _run(context, *command: str) -> None:
    context.process = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        env=WIDE_TERMINAL,
    )


@behave.given('a running system with profile "draft" at revision 1')
def given_system(context):
    """Check that the system was started."""
    assert context.url


@behave.when("the command line runs: {command}")
def run_command(context, command):
    """Run the command line against the system."""
    arguments = shlex.split(command)
    if arguments[0] != "--url":
        arguments = ["--url", context.url, *arguments]
    filled = [word.format(**context.files) for word in arguments]
    _run(context, str(launcher.BIN / "wasabilanding"), *filled)


@behave.when("the daemon starts with settings {change}")
def start_daemon(context, change):
    """Start the daemon with one change to valid settings."""
    path = context.folder / "changed.json"
    with open(context.files["settings"]) as file:
        settings = json.load(file)
    if change.startswith("without "):
        del settings[change.removeprefix("without ")]
    elif change.startswith("with "):
        name, value = change.removeprefix("with ").split(" as ")
        settings[name] = json.loads(value)
    text = "{" if change == "that are malformed" else json.dumps(settings)
    path.unlink(missing_ok=True)
    if change != "that are absent":
        path.write_text(text)
    daemon = str(launcher.BIN / "wasabilandingd")
    _run(context, daemon, "--settings", str(path))


@behave.then("it exits with {code:d} and prints {text}")
def check_result(context, code, text):
    """Check the exit code and the output."""
    process = context.process
    printed = process.stdout + process.stderr
    assert process.returncode == code, (process.returncode, printed)
    assert text in printed, printed
