"""Creates the files that the command line reads."""

import contextlib
import json
import pathlib
import tempfile

EXPERIMENT = {
    "name": "short",
    "duration_s": 2,
    "warmup_s": 0,
    "load": {"customers": [{"name": "salon", "rate_per_s": 5}]},
}


def before_all(context):
    """Create the files in a temporary folder."""
    context.stack = contextlib.ExitStack()
    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    context.files = {
        name: str(folder / f"{name}.json")
        for name in ("short", "broken", "absent", "one")
    }
    context.files["picture"] = str(folder / "picture.png")
    broken = {**EXPERIMENT, "colour": "red"}
    pathlib.Path(context.files["short"]).write_text(json.dumps(EXPERIMENT))
    pathlib.Path(context.files["broken"]).write_text(json.dumps(broken))


def after_all(context):
    """Remove the temporary folder."""
    context.stack.close()
