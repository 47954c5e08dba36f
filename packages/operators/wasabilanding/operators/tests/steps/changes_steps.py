"""Steps for changes through the administration API.

A scenario's givens and whens are noted and run together, in one run on the
mock clock, when the first check asks for the result.
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
IN_FORCE_S = 5.0
TWO_MB = 2_000_000


@dataclasses.dataclass
class Script:
    """What a scenario does and what came of it.

    :param faults: faults of the platform stand-in.
    :param call: method, path and body of a single call.
    :param operators: operators who race; 0 for none.
    """

    faults: dict = dataclasses.field(default_factory=dict)
    call: tuple[str, str, bytes] | None = None
    operators: int = 0
    responses: list[httpx.Response] = dataclasses.field(default_factory=list)
    before: int = 0
    after: tuple[int, ...] = ()
    versions: tuple[str, ...] = ()
    revisions: int = 0


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


async def _race(system: cluster.Cluster, script: Script) -> None:
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


async def _play(script: Script) -> None:
    async with cluster.open_cluster(cluster.Plan()) as system:
        profile = model.decode(model.Profile, json.dumps(PROFILE))
        await system.configure("escriba", profile)
        await system.wait_serving("prov", 1)
        documents = [
            running.context.known for running in system.nodes.values()
        ]
        script.before = documents[0].configuration.revision
        for name, value in script.faults.items():
            setattr(system.platform.faults, name, value)
        if script.call:
            method, path, body = script.call
            async with system.client("prov") as http:
                response = await http.request(
                    method, _urls(system)[0] + path, content=body
                )
            script.responses.append(response)
        await _race(system, script)
        await trio.sleep(IN_FORCE_S)
        script.after = tuple(k.configuration.revision for k in documents)
        histories = [k.configuration.profiles["draft"] for k in documents]
        script.versions = tuple(h.current.profile.version for h in histories)
        script.revisions = len(histories[0].revisions)


def _played(context) -> Script:
    if not context.played:
        cluster.run_seeded(_play, context.script)
        context.played = True
    return context.script


@behave.given('a system with profile "draft" at revision 1')
def given_system(context):
    """Start a new script."""
    context.script = Script()
    context.played = False


@behave.given("the store loses the answer of the next write")
def lose_answer(context):
    """Order the fault."""
    context.script.faults["lose_answers"] = 1


@behave.given("the store is down")
def store_down(context):
    """Order the fault."""
    context.script.faults["down"] = True


@behave.when("an operator sends {method} {path} with {body}")
def send(context, method, path, body):
    """Note a single call."""
    context.script.call = (method, path, _body(body))


@behave.when('{count:d} operators replace revision 1 of "draft" at once')
def race(context, count):
    """Note a race."""
    context.script.operators = count


@behave.when('an operator replaces revision 1 of "draft"')
def replace(context):
    """Note a single change."""
    context.script.operators = 1


@behave.then("the answer has status {status:d} and names {named}")
def check_answer(context, status, named):
    """Compare the answer."""
    response = _played(context).responses[0]
    assert response.status_code == status, (
        response.status_code,
        response.text,
    )
    assert named.lower() in json.dumps(response.json()).lower(), response.text


@behave.then("the configuration in force is unchanged")
def check_unchanged(context):
    """Compare the revisions on all nodes."""
    script = _played(context)
    assert set(script.after) == {script.before}, script


@behave.then(
    "{accepted:d} of them is accepted and {refused:d} are told of a conflict"
)
def check_race(context, accepted, refused):
    """Count the answers."""
    responses = _played(context).responses
    statuses = sorted(response.status_code for response in responses)
    assert statuses == [200] * accepted + [409] * refused, statuses


@behave.then("every entry VM has the accepted content within 5 seconds")
def check_in_force(context):
    """Compare the content on all nodes with the accepted one."""
    script = _played(context)
    (winner,) = [r for r in script.responses if r.status_code == 200]
    sent = json.loads(winner.request.content)["version"]
    assert set(script.versions) == {sent}, (script.versions, sent)
    assert set(script.after) == {winner.json()["revision"]}, script.after


@behave.then('profile "draft" has {count:d} revisions')
def check_revisions(context, count):
    """Compare the number of kept revisions."""
    assert _played(context).revisions == count, context.script.revisions
