"""Steps for changes through the administration API.

The given and when steps only record what to do. The first then step runs all
of it on the mock clock.
"""

import dataclasses
import json

import behave
import httpx
import trio

from wasabilanding.experiments import cluster
from wasabilanding import model

PROFILE = {
    "name": "draft",
    "kind": "replica",
    "model": "tarifa",
    "version": "v1",
    "vms_per_replica": 2,
    "replicas_per_domain": 1,
}
PROPAGATION_S = 5.0
TWO_MB = 2_000_000


@dataclasses.dataclass
class ScenarioScript:
    """Recorded steps of a scenario and their results.

    :param faults: faults to set on the platform stand-in, by name.
    :param call: method, path and body of a single request.
    :param operators: number of concurrent operators; 0 for none.
    :param revision_before: configuration revision before the changes.
    :param revisions_after: configuration revision of each node at the end.
    :param versions_after: profile version on each node at the end.
    :param kept_revisions: stored revisions of the profile at the end.
    """

    faults: dict = dataclasses.field(default_factory=dict)
    call: tuple[str, str, bytes] | None = None
    operators: int = 0
    responses: list[httpx.Response] = dataclasses.field(default_factory=list)
    revision_before: int = 0
    revisions_after: tuple[int, ...] = ()
    versions_after: tuple[str, ...] = ()
    kept_revisions: int = 0


def _body(text: str) -> bytes:
    if text == "nothing":
        return b""
    if text == "a body of 2 MB":
        return b" " * TWO_MB
    profile = dict(PROFILE)
    words = text.split(" ")
    if text == "profile without kind":
        del profile["kind"]
    elif text.startswith("profile with "):
        value = words[3]
        profile[words[2]] = int(value) if value.isdecimal() else value
    elif text != "valid profile":
        return text.encode()
    return json.dumps(profile).encode()


def _urls(system: cluster.Cluster) -> list[str]:
    return [
        f"http://{running.context.settings.administration.address}"
        for running in system.nodes.values()
    ]


async def _replace_concurrently(
    system: cluster.Cluster, script: ScenarioScript
) -> None:
    urls = _urls(system)

    async def put(number: int) -> None:
        content = {**PROFILE, "version": f"race-{number}"}
        async with system.client("prov") as http:
            response = await http.put(
                f"{urls[number % len(urls)]}/v1/profiles/draft?replaces=1",
                json=content,
            )
        script.responses.append(response)

    async with trio.open_nursery() as nursery:
        for number in range(script.operators):
            nursery.start_soon(put, number)


async def _run_script(script: ScenarioScript) -> None:
    async with cluster.open_cluster(cluster.Plan()) as system:
        profile = model.decode(model.Profile, json.dumps(PROFILE))
        await system.configure("escriba", profile)
        await system.wait_serving("prov", 1)
        node_states = [
            running.context.known for running in system.nodes.values()
        ]
        script.revision_before = node_states[0].configuration.revision
        for name, value in script.faults.items():
            setattr(system.platform.faults, name, value)
        if script.call:
            method, path, body = script.call
            async with system.client("prov") as http:
                response = await http.request(
                    method, _urls(system)[0] + path, content=body
                )
            script.responses.append(response)
        await _replace_concurrently(system, script)
        await trio.sleep(PROPAGATION_S)
        script.revisions_after = tuple(
            k.configuration.revision for k in node_states
        )
        histories = [k.configuration.profiles["draft"] for k in node_states]
        script.versions_after = tuple(
            h.current.profile.version for h in histories
        )
        script.kept_revisions = len(histories[0].revisions)


def _finished_script(context) -> ScenarioScript:
    if not context.finished:
        cluster.run_seeded(_run_script, context.script)
        context.finished = True
    return context.script


@behave.given('a system with profile "draft" at revision 1')
def given_system(context):
    """Start an empty script."""
    context.script = ScenarioScript()
    context.finished = False


@behave.given("the store loses the response to the next write")
def lose_answer(context):
    """Record the fault."""
    context.script.faults["lose_answers"] = 1


@behave.given("the store is down")
def store_down(context):
    """Record the fault."""
    context.script.faults["down"] = True


@behave.when("an operator sends {method} {path} with {body}")
def send(context, method, path, body):
    """Record a single request."""
    context.script.call = (method, path, _body(body))


@behave.when('{count:d} operators replace revision 1 of "draft" concurrently')
def replace_concurrently(context, count):
    """Record concurrent changes."""
    context.script.operators = count


@behave.when('an operator replaces revision 1 of "draft"')
def replace(context):
    """Record a single change."""
    context.script.operators = 1


@behave.then("the response has status {status:d} and mentions {mentioned}")
def check_response(context, status, mentioned):
    """Compare the response."""
    response = _finished_script(context).responses[0]
    assert response.status_code == status, (
        response.status_code,
        response.text,
    )
    assert mentioned.lower() in json.dumps(response.json()).lower(), (
        response.text
    )


@behave.then("the configuration of every node is unchanged")
def check_unchanged(context):
    """Compare the revisions on all nodes."""
    script = _finished_script(context)
    assert set(script.revisions_after) == {script.revision_before}, script


@behave.then("{accepted:d} of them is accepted and {refused:d} get a conflict")
def check_outcomes(context, accepted, refused):
    """Count the responses by status."""
    responses = _finished_script(context).responses
    statuses = sorted(response.status_code for response in responses)
    assert statuses == [200] * accepted + [409] * refused, statuses


@behave.then("every entry VM has the accepted content within 5 seconds")
def check_accepted_content(context):
    """Compare the content on all nodes with the accepted one."""
    script = _finished_script(context)
    (accepted_response,) = [
        r for r in script.responses if r.status_code == 200
    ]
    sent = json.loads(accepted_response.request.content)["version"]
    assert set(script.versions_after) == {sent}, (script.versions_after, sent)
    assert set(script.revisions_after) == {
        accepted_response.json()["revision"]
    }, script.revisions_after


@behave.then('profile "draft" has {count:d} revisions')
def check_revisions(context, count):
    """Compare the number of stored revisions."""
    assert _finished_script(context).kept_revisions == count, (
        context.script.kept_revisions
    )
