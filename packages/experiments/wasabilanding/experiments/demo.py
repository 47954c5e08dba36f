"""The demo: the main job on an embedded system, with its faults.

Explanation
===========

Three failure domains, one entry VM each, stand-ins for the platform and the
engines. A profile is written and chosen by the command line, replicas are
assembled, requests stream through every entry VM, a VM is killed and the
replica rebuilt, an entry VM is stopped while it streams. The demo ends with
a table and fails if a promise was broken.
"""

import collections
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx
import rich.console
import rich.table

from wasabilanding.experiments import launcher
from wasabilanding.standins import engine

DOMAINS = ("stgo-prov", "stgo-nunoa", "stgo-maipu")
SERVICE = "escriba"
PROFILE = {
    "name": "draft-large",
    "kind": "replica",
    "model": "tarifa-xl",
    "version": "v1",
    "vms_per_replica": 2,
    "replicas_per_domain": 2,
}
ASSEMBLY_TIMEOUT_S = 20.0
REPAIR_TIMEOUT_S = 15.0
SHORT_ANSWER = 20
LONG_ANSWER = 400
POLL_S = 0.1
EXIT_BROKEN = 1


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got.

    :param status: HTTP status.
    :param verdict: completed, not_run or may_have_run.
    :param whole: whether the text is exactly the one that was due.
    """

    status: int
    verdict: str
    whole: bool


class BrokenPromise(Exception):
    """Something that must always hold did not."""


def say(text: str) -> None:
    """Print what happens, with the time."""
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


def ask(url: str, prompt: str, length: int) -> Answer:
    """Send one streamed request and check its answer.

    :param url: base URL of an entry VM.
    :param prompt: text of the request.
    :param length: parts that are asked for.
    """
    body = {
        "model": SERVICE,
        "stream": True,
        "max_tokens": length,
        "messages": [{"role": "user", "content": prompt}],
    }
    text = ""
    with httpx.stream(
        "POST", f"{url}/v1/chat/completions", json=body, timeout=60.0
    ) as response:
        if response.is_error:
            verdict = response.headers.get("X-Outcome", "may_have_run")
            return Answer(response.status_code, verdict, False)
        for line in response.iter_lines():
            if not line.startswith("data: ") or line == "data: [DONE]":
                continue
            chunk = json.loads(line[6:])
            if "error" in chunk:
                verdict = chunk["error"]["outcome"]
                return Answer(response.status_code, verdict, False)
            text += chunk["choices"][0]["delta"]["content"]
    due = "".join(engine.part_text(prompt, i) for i in range(length))
    return Answer(response.status_code, "completed", text == due)


def command(url: str, *arguments: str) -> str:
    """Run the operators' command line.

    :param url: administration API of an entry VM.
    :param arguments: arguments of the command.
    :returns: what it printed.
    """
    done = subprocess.run(
        [launcher.BIN / "wasabilanding", "--url", url, *arguments],
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def _status(node: launcher.NodeHandle) -> dict:
    return httpx.get(f"{node.administration_url}/v1/status").json()


def wait_until_serving(
    system: launcher.System, count: int, timeout_s: float
) -> float:
    """Wait until every node sees all replicas of its domain serve.

    :param system: the running system.
    :param count: replicas in each failure domain.
    :param timeout_s: longest wait in seconds.
    :returns: the wait in seconds.
    """
    begun = time.monotonic()
    while time.monotonic() - begun < timeout_s:
        serving = [
            _status(node)["failure_domains"]
            .get(node.failure_domain, {})
            .get("serving", 0)
            for node in system.nodes
            if node.process.poll() is None
        ]
        if all(n >= count for n in serving):
            return time.monotonic() - begun
        time.sleep(POLL_S)
    raise BrokenPromise(f"replicas did not serve within {timeout_s} s")


def _write_profile(system: launcher.System, folder: pathlib.Path) -> None:
    path = folder / "draft-large.json"
    path.write_text(json.dumps(PROFILE))
    url = system.nodes[0].administration_url
    say(command(url, "profile", "put", str(path)))
    say(command(url, "service", "choose", SERVICE, PROFILE["name"]))


def _stream_everywhere(system: launcher.System, answers: list[Answer]) -> None:
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = [
            pool.submit(ask, node.callers_url, f"menu {i}", SHORT_ANSWER)
            for i in range(10)
            for node in system.nodes
        ]
        answers.extend(future.result() for future in futures)
    say(f"{len(futures)} requests were streamed through 3 entry VMs")


def _kill_one_vm(system: launcher.System, answers: list[Answer]) -> None:
    node = system.nodes[0]
    domain = node.failure_domain
    replica = _status(node)["failure_domains"][domain]["replicas"][0]
    victim = replica["members"][1]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = [
            pool.submit(
                ask, node.callers_url, f"promotion {i}", SHORT_ANSWER * 3
            )
            for i in range(8)
        ]
        time.sleep(0.2)
        httpx.post(f"{system.fleet_urls[domain]}/standin/{victim}/kill")
        killed_at = time.monotonic()
        say(f"VM {victim} of replica {replica['replica_id']} was killed")
        answers.extend(future.result() for future in futures)
    _wait_for_epoch(node, replica, killed_at)


def _wait_for_epoch(
    node: launcher.NodeHandle, replica: dict, begun: float
) -> None:
    while time.monotonic() - begun < REPAIR_TIMEOUT_S:
        domain = _status(node)["failure_domains"][node.failure_domain]
        rebuilt = [
            r
            for r in domain["replicas"]
            if r["epoch"] > replica["epoch"] and r["serving"]
        ]
        if domain["serving"] == domain["wanted"] and rebuilt:
            took = time.monotonic() - begun
            members = ", ".join(rebuilt[-1]["members"])
            say(f"replica rebuilt on {members} after {took:.1f} s")
            return
        time.sleep(POLL_S)
    raise BrokenPromise(f"replica {replica['replica_id']} was not rebuilt")


def _stop_gracefully(system: launcher.System, answers: list[Answer]) -> None:
    node = system.nodes[1]
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [
            pool.submit(ask, node.callers_url, f"notice {i}", LONG_ANSWER)
            for i in range(6)
        ]
        time.sleep(0.5)
        node.process.terminate()
        say(f"entry VM {node.name} was told to stop with 6 streams open")
        stopped = [future.result() for future in futures]
    answers.extend(stopped)
    if not all(answer.whole for answer in stopped):
        raise BrokenPromise(f"a stream was cut by the stop of {node.name}")
    node.process.wait(timeout=10.0)
    say(f"entry VM {node.name} ended after its last stream")


def _print_table(system: launcher.System, answers: list[Answer]) -> None:
    table = rich.table.Table("measure", "value")
    outcomes = collections.Counter(answer.verdict for answer in answers)
    for verdict, count in sorted(outcomes.items()):
        table.add_row(f"requests {verdict}", str(count))
    for node in system.nodes:
        if node.process.poll() is not None:
            continue
        status = _status(node)
        table.add_row(
            f"group downtime, {node.failure_domain}",
            f"{status['group_downtime_s']:.1f} s",
        )
        table.add_row(
            f"stranded accelerators, {node.failure_domain}",
            f"{status['stranded_accelerator_s']:.0f} accelerator-s",
        )
    rich.console.Console().print(table)


def _check_answers(answers: list[Answer]) -> None:
    broken = [
        answer
        for answer in answers
        if answer.verdict == "completed" and not answer.whole
    ]
    if broken:
        raise BrokenPromise(f"{len(broken)} answers were not whole")


def run_demo(folder: pathlib.Path) -> None:
    """Run the demo.

    :param folder: takes settings, logs and traces.
    :raises BrokenPromise: when something that must hold did not.
    """
    answers: list[Answer] = []
    with launcher.System(launcher.Plan(DOMAINS), folder) as system:
        say("stand-ins and 3 entry VMs run on loopback")
        _write_profile(system, folder)
        waited = wait_until_serving(
            system, PROFILE["replicas_per_domain"], ASSEMBLY_TIMEOUT_S
        )
        say(f"all replicas were assembled after {waited:.1f} s")
        _stream_everywhere(system, answers)
        _kill_one_vm(system, answers)
        _stop_gracefully(system, answers)
        _print_table(system, answers)
    _check_answers(answers)


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            run_demo(pathlib.Path(folder))
        except (BrokenPromise, TimeoutError) as error:
            say(f"BROKEN: {error}")
            sys.exit(EXIT_BROKEN)
    say("every promise was kept")


if __name__ == "__main__":
    main()
