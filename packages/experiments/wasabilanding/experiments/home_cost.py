"""Measures the cost of home replicas in routing.

Explanation
===========

Conversations whose prompts grow with each turn send their requests to random
entry VMs of the in-process system, as behind a load balancer. With homes a
request is routed to one of a few replicas (:mod:`wasabilanding.poison`),
without homes to any replica. The measurements are the share of complete prompt
blocks that were in the cache of the engine, the latency of a short answer, and
the ratio of the load of the busiest replica to the mean.

Run it with ``python -m wasabilanding.experiments.home_cost``.
"""

import contextlib
import dataclasses
import logging
import random
import unittest.mock

import trio
import typer

from wasabilanding.daemon import poison_guard
from wasabilanding.experiments import cluster
from wasabilanding.experiments import histories
from wasabilanding import model
from wasabilanding import standins

SERVICE = "escriba"
PROFILE = model.ReplicaProfile(
    name="talk",
    model="tarifa",
    version="v1",
    vms_per_replica=1,
    replicas_per_domain=6,
)
ENGINE = standins.EngineSettings(
    step_slope_s=0.0005,
    prefill_token_s=0.00005,
    max_running=16,
    cache_blocks=512,
)
CUSTOMERS = 10
CONVERSATIONS = 600
TURNS = 4
TURN_PAUSE_S = 2.0
RUN_S = 20.0
TEMPLATE_CHARACTERS = 2000
TURN_CHARACTERS = 800
SEEDS = (1, 2)
ANSWER_PARTS = 40
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Measurements:
    """Measurements of one run.

    :param hit_share: share of the prompt blocks that were cached, from 0 to 1.
    :param median_ms: median time to the complete answer, in milliseconds.
    :param p95_ms: 95th percentile of this time, in milliseconds.
    :param imbalance: ratio of the starts at the busiest replica to the mean.
    """

    hit_share: float
    median_ms: float
    p95_ms: float
    imbalance: float


def _text(rng: random.Random, characters: int) -> str:
    return "".join(rng.choices("abcdefgh ", k=characters))


async def _converse(
    system: cluster.Cluster,
    rng: random.Random,
    template: str,
    latencies_s: list,
) -> None:
    nodes = sorted(system.nodes)
    prompt = template
    await trio.sleep(rng.uniform(0.0, RUN_S))
    for _ in range(TURNS):
        prompt += _text(rng, TURN_CHARACTERS)
        submission = await histories.submit(
            system, rng.choice(nodes), prompt, length=ANSWER_PARTS
        )
        if submission.verdict == "completed":
            latencies_s.append(submission.ended_at - submission.sent_at)
        await trio.sleep(rng.expovariate(1 / TURN_PAUSE_S))


def _measurements(
    system: cluster.Cluster, latencies_s: list[float]
) -> Measurements:
    engines = [
        engine
        for fleet in system.fleets.values()
        for engine in fleet.engines.values()
    ]
    runs = [run for engine in engines for run in engine.runs.values()]
    starts = [len(engine.runs) for engine in engines if engine.runs]
    blocks = sum(len(run.blocks) for run in runs)
    ranked = sorted(latencies_s)
    return Measurements(
        sum(run.cached_blocks for run in runs) / blocks,
        ranked[len(ranked) // 2] * MS_PER_S,
        ranked[int(0.95 * len(ranked))] * MS_PER_S,
        max(starts) * PROFILE.replicas_per_domain * 3 / sum(starts),
    )


async def measure(seed: int) -> Measurements:
    """Run conversations; to be called by ``run_seeded``.

    :param seed: seed of the conversations.
    """
    plan = cluster.Plan(
        nodes_per_domain=3,
        fabrics_per_domain=2,
        vms_per_fabric=3,
        engine=ENGINE,
        seed=seed,
    )
    rng = random.Random(seed)
    templates = [_text(rng, TEMPLATE_CHARACTERS) for _ in range(CUSTOMERS)]
    latencies_s: list[float] = []
    async with cluster.open_cluster(plan) as system:
        await system.configure(SERVICE, PROFILE)
        for domain in plan.failure_domains:
            await system.wait_serving(domain, PROFILE.replicas_per_domain)
        async with trio.open_nursery() as nursery:
            for _ in range(CONVERSATIONS):
                conversation_rng = random.Random(rng.random())
                template = rng.choice(templates)
                nursery.start_soon(
                    _converse, system, conversation_rng, template, latencies_s
                )
        return _measurements(system, latencies_s)


def _without_homes() -> contextlib.AbstractContextManager:
    return unittest.mock.patch.object(
        poison_guard.PoisonGuard, "confine", lambda *arguments: None
    )


def main() -> None:
    """Print the measurements with and without homes."""
    logging.disable(logging.WARNING)
    typer.echo("homes  seed  cached  median ms  p95 ms  busiest/mean")
    for seed in SEEDS:
        for homes in (True, False):
            scope = contextlib.nullcontext() if homes else _without_homes()
            with scope:
                result = cluster.run_seeded(measure, seed, seed=seed)
            typer.echo(
                f"{'yes' if homes else 'no':5}  {seed:4}"
                f"  {result.hit_share:6.1%}  {result.median_ms:9.1f}"
                f"  {result.p95_ms:6.1f}  {result.imbalance:12.2f}"
            )


if __name__ == "__main__":
    main()
