"""Starts one system that all scenarios share."""

import contextlib
import json
import pathlib
import tempfile

from wasabilanding.experiments import demo
from wasabilanding.experiments import launcher

PROFILE = {
    "name": "draft",
    "kind": "replica",
    "model": "tarifa",
    "version": "v1",
    "vms_per_replica": 2,
    "replicas_per_domain": 1,
}
SETTINGS = {
    "node": "prov-0",
    "failure_domain": "prov",
    "callers": {"port": 7001},
    "administration": {"port": 7002},
    "peers": {"port": 7003},
    "platform_url": "http://127.0.0.1:7000",
}
DOCUMENTS = {
    "valid": PROFILE,
    "invalid": {**PROFILE, "colour": "red"},
    "large": {**PROFILE, "vms_per_replica": 9},
    "settings": SETTINGS,
    "bad_settings": {**SETTINGS, "callers": {"port": 0}},
}
SERVING_TIMEOUT_S = 20.0


def before_all(context):
    """Write the input files and start the system."""
    context.stack = contextlib.ExitStack()
    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    context.folder = folder
    context.files = {"absent": str(folder / "absent.json")}
    for name, content in DOCUMENTS.items():
        path = folder / f"{name}.json"
        path.write_text(json.dumps(content))
        context.files[name] = str(path)
    plan = launcher.Plan(("prov",), fabrics_per_domain=1)
    system = context.stack.enter_context(launcher.System(plan, folder))
    context.node = system.nodes[0]
    context.url = context.node.administration_url
    demo.run_cli(context.url, "profile", "put", context.files["valid"])
    demo.run_cli(context.url, "service", "choose", "escriba", "draft")
    demo.wait_until_serving(system, 1, SERVING_TIMEOUT_S)


def after_all(context):
    """Stop the system."""
    context.stack.close()
