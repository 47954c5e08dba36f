"""Steps for crowds of clients before one gateway."""

import dataclasses
import functools
import json
import resource
import subprocess
import time
import urllib.parse

import behave
import httpx
import trio

from wasabilanding.experiments.crowds import clients
from wasabilanding.experiments.crowds import crowd as crowd_module
from wasabilanding.experiments.crowds import gauge as gauge_module
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running
from wasabilanding.experiments import launcher

PLAN = launch.Plan(
    ("prov",), nodes_per_domain=1, fabrics_per_domain=1, pages_per_domain=2
)
MB = 1_000_000
# Endpoints of the crowd's requests answer after this time, but not of the
# ordinary requests.
BEHAVIOUR = {"work_s": 5.0, "slots": 400}
# Within which the crowd has done what costs the process most.
CROWD_S = 8.0
# An idle connection is kept for 15 s: an ordinary request is answered before.
ANSWER_WITHIN_S = 6.0
ANSWER_AFTERWARDS_WITHIN_S = 15.0
TRY_S = 3.0
PAUSE_S = 0.2


DAEMON_PLAN = launcher.Plan(("prov",), fabrics_per_domain=1)


@dataclasses.dataclass(frozen=True)
class Target:
    """A process before which a crowd comes.

    :param process: the process.
    :param ports: its ports, by name.
    :param paths: methods and paths of the crowd, by port.
    :param ordinary: an ordinary request, without its identity.
    """

    process: subprocess.Popen[bytes]
    ports: dict[str, int]
    paths: dict[str, str]
    ordinary: httpx.Request


def _raise_own_limit():
    """Let this process open the connections of the crowd."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def _limit(process, descriptors):
    limits = descriptors, descriptors
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)


@behave.given("a gateway with {memory:d} MB and {descriptors:d} descriptors")
def given_gateway(context, memory, descriptors):
    """Start an installation of one gateway; it ends with the scenario."""
    _raise_own_limit()
    running.start(
        context,
        PLAN,
        behaviour=BEHAVIOUR,
        settings={"memory_mb": memory, "max_descriptors": descriptors},
    )
    gateway = context.installation.gateways[0]
    _limit(gateway.process, descriptors)
    ports = {
        "callers": urllib.parse.urlsplit(gateway.callers_url).port,
        "readiness": urllib.parse.urlsplit(gateway.ready_url).port,
        "relays": json.loads(gateway.settings.read_text())["peer_port"],
    }
    headers = {
        "host": launch.SITE,
        "x-key": "key-1",
        "x-model": launch.SMALL.name,
        "x-events-wanted": "1",
    }
    url = f"{gateway.callers_url}/drafts/o"
    ordinary = httpx.Request("POST", url, headers=headers)
    paths = dict.fromkeys(ports, "POST /pages/crowd")
    context.target = Target(gateway.process, ports, paths, ordinary)


@behave.given("a daemon with {memory:d} MB and {descriptors:d} descriptors")
def given_daemon(context, memory, descriptors):
    """Start a system of one daemon; it ends with the scenario."""
    _raise_own_limit()
    settings = {"memory_mb": memory, "max_descriptors": descriptors}
    system = launcher.System(
        DAEMON_PLAN, running.make_folder(context), settings
    )
    system.__enter__()
    context.add_cleanup(functools.partial(system.__exit__, None, None, None))
    node = system.nodes[0]
    _limit(node.process, descriptors)
    administration = urllib.parse.urlsplit(node.administration_url)
    ports = {
        "callers": urllib.parse.urlsplit(node.callers_url).port,
        "administration": administration.port,
    }
    ordinary = httpx.Request("GET", f"{node.callers_url}/v1/models")
    paths = {
        "callers": "POST /v1/chat/completions",
        "administration": "PUT /v1/profiles/crowd",
    }
    context.target = Target(node.process, ports, paths, ordinary)


def _start_of(target, number):
    return (
        f"{target} HTTP/1.1\r\nhost: {launch.SITE}\r\n"
        f"x-key: key-1\r\nx-request: crowd-{number}\r\nx-deadline-s: 600"
    ).encode()


async def _is_answered(ordinary):
    ordinary.headers["x-request"] = f"ordinary-{time.monotonic_ns()}"
    try:
        async with running.open_client(TRY_S) as client:
            with trio.fail_after(TRY_S):
                answer = await client.send(ordinary)
    except (httpx.HTTPError, trio.TooSlowError) as error:
        print(repr(error))
        return False
    print(answer.status_code)
    return answer.is_success


async def _answered_within(ordinary, seconds):
    """Return whether one of several tries of an ordinary request succeeds."""
    with trio.move_on_after(seconds):
        while not await _is_answered(ordinary):
            await trio.sleep(PAUSE_S)
        return True
    return False


@behave.when(
    "{count:d} clients come to its {listener:w} port that send {what}"
)
def when_crowd_comes_to(context, count, listener, what):
    """Let the crowd come, stay and leave; measure the process."""
    target = context.target
    port = target.ports[listener]
    crowd = crowd_module.Crowd(
        clients.KINDS[what],
        count,
        launcher.HOST,
        port,
        functools.partial(_start_of, target.paths[listener]),
    )
    context.gauge = gauge_module.Gauge(
        target.process.pid, target.ports.values()
    )

    async def act():
        async with context.gauge.running():
            async with crowd.present(CROWD_S):
                context.is_answered = await _answered_within(
                    target.ordinary, ANSWER_WITHIN_S
                )

    trio.run(act)
    print(context.gauge.largest, context.gauge.descriptors, crowd.opened)


@behave.when("{count:d} clients come that send {what}")
def when_crowd_comes(context, count, what):
    """Let the crowd come to the callers' port."""
    when_crowd_comes_to(context, count, "callers", what)


@behave.then(
    "the {name:w} used less than {memory:d} MB and {descriptors:d} descriptors"
)
def then_within(context, name, memory, descriptors):
    """Compare the largest use with the machine's."""
    assert context.target.process.poll() is None, f"the {name} has ended"
    largest = context.gauge.largest
    assert largest.memory_bytes < memory * MB, largest
    assert context.gauge.descriptors < descriptors, context.gauge.descriptors


@behave.then("an ordinary request is answered while the crowd is there")
def then_answered(context):
    """Check the answer during the crowd."""
    assert context.is_answered, "no ordinary request was answered"


@behave.then("an ordinary request is answered afterwards")
def then_answered_afterwards(context):
    """Check that the process still serves."""
    target = context.target
    assert trio.run(
        _answered_within, target.ordinary, ANSWER_AFTERWARDS_WITHIN_S
    )
    assert target.process.poll() is None, "the process has ended"
