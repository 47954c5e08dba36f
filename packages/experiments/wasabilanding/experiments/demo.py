"""Demo that serves requests and handles faults with real processes.

Explanation
===========

The demo runs three failure domains with one entry VM each, and stand-ins for
the platform and the engines. It stores a profile and selects it with the
command line, waits until the replicas are assembled, streams requests through
every entry VM, kills a VM and waits until its replica is rebuilt, and stops
an entry VM while it streams. It prints a table at the end and exits with an
error if a guarantee was violated.
"""

import collections
import collections.abc
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx
import rich.console
import rich.table

from wasabilanding.experiments import chat_client
from wasabilanding.experiments.installation import demo as installation_demo
from wasabilanding.experiments import launcher
from wasabilanding.experiments import violations

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
EXIT_FAILED = 1


def print_progress(text: str) -> None:
    """Print a progress message with the current time."""
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


def _send(
    node: launcher.NodeHandle,
    prompt: str,
    max_tokens: int,
    headers: collections.abc.Mapping[str, str] | None = None,
) -> chat_client.Answer:
    request = chat_client.ChatRequest(
        SERVICE, prompt, max_tokens, headers or {}
    )
    return chat_client.send_request(node.callers_url, request)


def run_cli(url: str, *arguments: str) -> str:
    """Run the ``wasabilanding`` command line.

    :param url: administration URL of an entry VM.
    :param arguments: command line arguments.
    :returns: standard output without surrounding whitespace.
    """
    completed = subprocess.run(
        [launcher.BIN / "wasabilanding", "--url", url, *arguments],
        check=True,
        capture_output=True,
        text=True,
    )
    return completed.stdout.strip()


def _status(node: launcher.NodeHandle) -> dict:
    return httpx.get(f"{node.administration_url}/v1/status").json()


def wait_until_serving(
    system: launcher.System, count: int, timeout_s: float
) -> float:
    """Wait until every node reports all replicas of its domain as serving.

    :param system: running system.
    :param count: number of replicas in each failure domain.
    :param timeout_s: longest wait in seconds.
    :returns: elapsed time in seconds.
    :raises wasabilanding.experiments.violations.PropertyViolated: if the
        replicas do not serve within the timeout.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        serving = [
            _status(node)["failure_domains"]
            .get(node.failure_domain, {})
            .get("serving", 0)
            for node in system.nodes
            if node.process.poll() is None
        ]
        if all(n >= count for n in serving):
            return time.monotonic() - started_at
        time.sleep(POLL_S)
    raise violations.PropertyViolated(
        f"replicas were not serving within {timeout_s} s"
    )


def _write_profile(system: launcher.System, folder: pathlib.Path) -> None:
    path = folder / "draft-large.json"
    path.write_text(json.dumps(PROFILE))
    url = system.nodes[0].administration_url
    print_progress(run_cli(url, "profile", "put", str(path)))
    print_progress(run_cli(url, "service", "choose", SERVICE, PROFILE["name"]))


def _stream_everywhere(
    system: launcher.System, answers: list[chat_client.Answer]
) -> None:
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = [
            pool.submit(_send, node, f"menu {i}", SHORT_ANSWER)
            for i in range(10)
            for node in system.nodes
        ]
        answers.extend(future.result() for future in futures)
    print_progress(f"{len(futures)} requests streamed through 3 entry VMs")


def _count_runs(system: launcher.System, prompt: str) -> int:
    logs = [
        httpx.get(f"{url}/standin/log").json()
        for url in system.fleet_urls.values()
    ]
    return sum(entry[1] == prompt for log in logs for entry in log)


def _send_non_idempotent_requests(
    system: launcher.System, answers: list[chat_client.Answer]
) -> None:
    prompt = "price sheet for the weekend"
    headers = {"X-Non-Idempotent": "true", "Idempotency-Key": "sheet-1"}
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        futures = [
            pool.submit(_send, node, prompt, SHORT_ANSWER, headers)
            for node in system.nodes
        ]
        received = [future.result() for future in futures]
    answers.extend(received)
    runs = _count_runs(system, prompt)
    verdicts = ", ".join(sorted(answer.verdict for answer in received))
    print_progress(
        f"one price sheet sent through 3 entry VMs: runs {runs}, {verdicts}"
    )
    if runs != 1:
        raise violations.PropertyViolated(
            f"a non-idempotent request ran {runs} times instead of once"
        )


def _kill_vm(
    system: launcher.System, answers: list[chat_client.Answer]
) -> None:
    node = system.nodes[0]
    domain = node.failure_domain
    replicas = _status(node)["failure_domains"][domain]["replicas"]
    victim = replicas[0]["members"][1]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = [
            pool.submit(_send, node, f"promotion {i}", SHORT_ANSWER * 3)
            for i in range(8)
        ]
        time.sleep(0.2)
        httpx.post(f"{system.fleet_urls[domain]}/standin/{victim}/kill")
        killed_at = time.monotonic()
        print_progress(
            f"VM {victim} of {replicas[0]['replica_id']} was killed"
        )
        answers.extend(future.result() for future in futures)
    _wait_for_repair(node, replicas, killed_at)


def _wait_for_repair(
    node: launcher.NodeHandle, before: list[dict], started_at: float
) -> None:
    previous = {(r["replica_id"], r["epoch"]) for r in before}
    while time.monotonic() - started_at < REPAIR_TIMEOUT_S:
        domain = _status(node)["failure_domains"][node.failure_domain]
        rebuilt = [
            r
            for r in domain["replicas"]
            if (r["replica_id"], r["epoch"]) not in previous and r["serving"]
        ]
        if domain["serving"] == domain["wanted"] and rebuilt:
            elapsed_s = time.monotonic() - started_at
            members = ", ".join(rebuilt[0]["members"])
            print_progress(
                f"replica rebuilt on {members} after {elapsed_s:.1f} s"
            )
            return
        time.sleep(POLL_S)
    raise violations.PropertyViolated(
        f"no replica was rebuilt within {REPAIR_TIMEOUT_S} s"
    )


def _stop_gracefully(
    system: launcher.System, answers: list[chat_client.Answer]
) -> None:
    node = system.nodes[1]
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [
            pool.submit(_send, node, f"notice {i}", LONG_ANSWER)
            for i in range(6)
        ]
        time.sleep(0.5)
        node.process.terminate()
        print_progress(
            f"entry VM {node.name} received SIGTERM with 6 open streams"
        )
        stopped = [future.result() for future in futures]
    answers.extend(stopped)
    incomplete = [answer for answer in stopped if not answer.complete]
    if incomplete:
        raise violations.PropertyViolated(
            f"the shutdown of {node.name} cut a stream: {incomplete}"
        )
    node.process.wait(timeout=10.0)
    print_progress(f"entry VM {node.name} exited after its last stream")


def _print_table(
    system: launcher.System, answers: list[chat_client.Answer]
) -> None:
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


def _check_answers(answers: list[chat_client.Answer]) -> None:
    mismatched = [
        answer
        for answer in answers
        if answer.verdict == "completed" and not answer.complete
    ]
    if mismatched:
        raise violations.PropertyViolated(
            f"{len(mismatched)} answers have unexpected text"
        )


def run_demo(folder: pathlib.Path) -> None:
    """Run the demo of the entry VMs.

    :param folder: folder for settings, logs and traces.
    :raises wasabilanding.experiments.violations.PropertyViolated: if a
        guarantee was violated.
    """
    answers: list[chat_client.Answer] = []
    with launcher.System(launcher.Plan(DOMAINS), folder) as system:
        print_progress("stand-ins and 3 entry VMs are running on loopback")
        _write_profile(system, folder)
        elapsed_s = wait_until_serving(
            system, PROFILE["replicas_per_domain"], ASSEMBLY_TIMEOUT_S
        )
        print_progress(f"all replicas are serving after {elapsed_s:.1f} s")
        _stream_everywhere(system, answers)
        _send_non_idempotent_requests(system, answers)
        _kill_vm(system, answers)
        _stop_gracefully(system, answers)
        _print_table(system, answers)
    _check_answers(answers)


def main() -> None:
    """Run both parts of the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        try:
            run_demo(path)
            installation_demo.run_demo(path, print_progress)
        except (violations.PropertyViolated, TimeoutError) as error:
            print_progress(f"FAILED: {error}")
            sys.exit(EXIT_FAILED)
    print_progress("all guarantees held")


if __name__ == "__main__":
    main()
