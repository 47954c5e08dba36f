"""Requests to a small system whose engines inject faults."""

import collections.abc
import contextlib
import dataclasses
import json

import httpx
import trio

from wasabilanding.experiments import cluster
from wasabilanding import model
from wasabilanding import standins
from wasabilanding.standins import engine as engine_module

SERVICE = "escriba"
LENGTH = 20
PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=1,
)
PLAN = cluster.Plan(
    failure_domains=("prov", "nunoa"), fabrics_per_domain=1, vms_per_fabric=2
)
URL = f"http://prov-node-0:{cluster.CALLERS_PORT}/v1/chat/completions"


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """Result of a request at its caller and at the engines.

    :param verdict: verdict that the caller received.
    :param text: text that the caller received.
    :param runs: number of runs of the request at all engines.
    :param elapsed_s: time until the end of the answer, in seconds.
    :param retry_after: value of the Retry-After header, if present.
    """

    verdict: str
    text: str
    runs: int
    elapsed_s: float
    retry_after: str | None = None


def expected_answer(prompt: str, length: int = LENGTH) -> str:
    """Return the complete answer to a prompt."""
    return "".join(engine_module.part_text(prompt, i) for i in range(length))


def leader(system: cluster.Cluster, domain: str = "prov") -> str:
    """Return the leader VM of a domain's first replica."""
    node = next(iter(system.nodes.values()))
    return node.context.known.record(domain).replicas[0].leader


def inject_faults(system: cluster.Cluster, domain: str, *kinds: str) -> None:
    """Inject faults into the next requests at a domain's first replica."""
    engine = system.engine(leader(system, domain))
    for kind in kinds:
        fault = standins.Fault(standins.FaultKind(kind))
        engine.faults.append(fault)


def count_runs(system: cluster.Cluster, prompt: str) -> int:
    """Return the number of runs of a prompt at all engines."""
    return sum(
        logged == prompt
        for fleet in system.fleets.values()
        for _, logged, _ in fleet.log
    )


@contextlib.asynccontextmanager
async def open_system(
    plan: cluster.Plan = PLAN,
) -> collections.abc.AsyncIterator[cluster.Cluster]:
    """Run a system and wait until all its replicas serve.

    :param plan: parameters of the cluster.
    """
    async with cluster.open_cluster(plan) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in plan.failure_domains:
            await system.wait_serving(domain, 1)
        # The next exchange informs nodes of the other domain's replica.
        await trio.sleep(2.0)
        yield system


def _read_events(lines: list[str]) -> tuple[str, str]:
    text = ""
    for line in lines:
        if line == "data: [DONE]":
            return "completed", text
        chunk = json.loads(line.removeprefix("data: "))
        if "error" in chunk:
            return chunk["error"]["outcome"], text
        text += chunk["choices"][0]["delta"]["content"]
    return "cut", text


async def send(
    system: cluster.Cluster,
    prompt: str,
    headers: dict[str, str] | None = None,
    length: int = LENGTH,
) -> RequestResult:
    """Send a streamed request and read its answer.

    :param system: the cluster.
    :param prompt: text of the request.
    :param headers: headers of the request.
    :param length: number of parts to generate.
    """
    body = {
        "model": SERVICE,
        "stream": True,
        "max_tokens": length,
        "messages": [{"role": "user", "content": prompt}],
    }
    started_at = trio.current_time()
    async with system.client("prov") as http:
        response = await http.post(
            URL, json=body, headers=headers, timeout=None
        )
    elapsed_s = trio.current_time() - started_at
    return _make_result(system, prompt, response, elapsed_s)


def _make_result(
    system: cluster.Cluster,
    prompt: str,
    response: httpx.Response,
    elapsed_s: float,
) -> RequestResult:
    verdict, text = response.headers.get("X-Outcome", ""), ""
    if response.is_success:
        lines = [line for line in response.text.split("\n") if line]
        verdict, text = _read_events(lines)
    return RequestResult(
        verdict,
        text,
        count_runs(system, prompt),
        elapsed_s,
        response.headers.get("Retry-After"),
    )
