"""Runs an experiment on trio's mock clock."""

import collections.abc
import dataclasses
import functools
import typing

import trio

from wasabilanding.experiments import cluster
from wasabilanding.experiments.study import direct
from wasabilanding.experiments.study import faults
from wasabilanding.experiments.study import load
from wasabilanding.experiments.study import results
from wasabilanding.experiments.study import specification
from wasabilanding.experiments.study import whole
from wasabilanding import standins

SAMPLE_INTERVAL_S = 0.25
ACCELERATORS_PER_VM = 8

Progress = collections.abc.Callable[[float, float], None]


class System(faults.FaultTarget, typing.Protocol):
    """The system under test."""

    @property
    def engines(self) -> collections.abc.Mapping[str, standins.Engine]:
        """Engines by VM."""

    async def start(self) -> None:
        """Start the system and wait until it serves."""

    async def serve(self, arrival: load.Arrival) -> None:
        """Serve one request and record its outcome."""

    def desired_replicas(self) -> int:
        """Return the total number of desired replicas."""


MODES = {"direct": direct.DirectSystem, "whole": whole.WholeSystem}


def _system_sample(system: System, at_s: float) -> results.SystemSample:
    engines = system.engines
    leaders = [e for e in engines.values() if e.alive and e.is_whole()]
    serving = [e for e in leaders if e.paused.is_set()]
    assigned_vms = sum(len(engine.members) for engine in serving)
    return results.SystemSample(
        at_s=round(at_s, 3),
        down=max(0, system.desired_replicas() - len(serving)),
        stranded=ACCELERATORS_PER_VM * (len(engines) - assigned_vms),
    )


async def _record_system(
    experiment: specification.Experiment,
    system: System,
    recorder: results.Recorder,
    progress: Progress,
    started_at: float,
) -> None:
    steps = round(experiment.duration_s / SAMPLE_INTERVAL_S)
    for step in range(steps + 1):
        at_s = step * SAMPLE_INTERVAL_S
        await trio.sleep_until(started_at + at_s)
        recorder.add_system_sample(_system_sample(system, at_s))
        progress(at_s, experiment.duration_s)


async def _serve_arrivals(
    experiment: specification.Experiment, system: System, started_at: float
) -> None:
    async with trio.open_nursery() as requests:
        for arrival in load.arrivals(experiment):
            await trio.sleep_until(started_at + arrival.at_s)
            requests.start_soon(system.serve, arrival)


async def _run(
    experiment: specification.Experiment, progress: Progress
) -> results.Results:
    recorder = results.Recorder(experiment.warmup_s)
    async with trio.open_nursery() as background:
        system_class = MODES[experiment.system.mode]
        system = system_class(experiment, background, recorder)
        await system.start()
        started_at = trio.current_time()
        record = functools.partial(
            _record_system, experiment, system, recorder, progress, started_at
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(record)
            nursery.start_soon(
                faults.apply_faults, experiment.faults, system, started_at
            )
            nursery.start_soon(_serve_arrivals, experiment, system, started_at)
        background.cancel_scope.cancel()
    return recorder.results(
        experiment.name,
        experiment.seed,
        dataclasses.asdict(experiment.policies),
        experiment.duration_s,
    )


def _ignore_progress(at_s: float, duration_s: float) -> None:
    pass


def run_experiment(
    experiment: specification.Experiment, progress: Progress = _ignore_progress
) -> results.Results:
    """Run an experiment.

    :param experiment: experiment to run.
    :param progress: called with the elapsed time and the duration, in
        seconds of the mock clock.
    :returns: results; identical for identical experiments.
    """
    return cluster.run_seeded(_run, experiment, progress, seed=experiment.seed)
