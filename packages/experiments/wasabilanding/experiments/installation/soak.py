"""Soak test of real processes under random faults.

Explanation
===========

The seed determines the faults and planned changes, which may overlap, while
callers send requests on keep-alive connections. At the end all faults are
removed and the installation must serve again. The answers that callers
received and the requests that engines ran are checked by
:func:`wasabilanding.experiments.installation.find_violations`. Because
processes and ports are real, a seed reproduces the actions but not the
scheduling by the operating system.
"""

import collections
import dataclasses
import pathlib
import random

import trio

from wasabilanding.experiments.installation import callers as callers_module
from wasabilanding.experiments.installation import changes
from wasabilanding.experiments.installation import checks
from wasabilanding.experiments.installation import crashing_requests
from wasabilanding.experiments.installation import cuts
from wasabilanding.experiments.installation import evacuation
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import options as options_module
from wasabilanding.experiments.installation import outputs
from wasabilanding.experiments.installation import proxy

RECOVERY_TIMEOUT_S = 15.0
# Exceeds the bound on the propagation of a configuration change.
CONFIGURATION_MARGIN_S = 1.0
# Gateways go by an earlier idle timeout for this time after it was lowered.
SETTLING_S = 1.0
DELAY_CHECK_INTERVAL_S = 0.05
RECORDED_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one seed.

    :param seed: the seed.
    :param actions: faults and planned changes in order, with their times.
    :param outcomes: answers by HTTP status; 0 counts incomplete answers.
    :param endings: requests by the way in which they ended.
    :param unfinished: requests without a complete answer.
    :param violations: guarantees that were violated.
    :param longest_delay_s: longest time in seconds by which the soak's own
        process ran late, which adds to the times that its callers see.
    """

    seed: int
    actions: tuple[str, ...]
    outcomes: dict[int, int]
    endings: dict[cuts.Ending, int]
    unfinished: tuple[cuts.Unfinished, ...]
    violations: tuple[str, ...]
    longest_delay_s: float


class Soak:
    """One run of the soak test.

    :param seed: seed of all random choices.
    :param options: what the run does.
    :param folder: folder for settings and logs.
    """

    def __init__(
        self, seed: int, options: options_module.Options, folder: pathlib.Path
    ) -> None:
        rng = random.Random(seed)
        self._options = options
        self._folder = folder
        self._proxies: dict[str, proxy.Proxy] = {}
        self._pipes: dict[str, outputs.PipedOutput] = {}
        plan = launch.Plan(nodes_per_domain=options.nodes_per_domain)
        # Planned changes disturb no links.
        proxied_port = None if options.planned_only else self._start_proxy
        self._installation = launch.Installation(
            plan,
            folder,
            proxied_port,
            self._output_of,
            is_cuttable=not options.planned_only,
            settling_s=SETTLING_S if options.idle else None,
        )
        self._changes = changes.ChangeInjector(
            self._installation, self._proxies, self._pipes, rng, options
        )
        self._callers = callers_module.Callers(
            self._installation,
            rng,
            options,
            changes.KEYS,
            lambda: self._changes.idle_timeout_s,
        )
        self._nursery: trio.Nursery | None = None
        self._is_finished = False
        self.longest_delay_s = 0.0
        self.observation = checks.Observation((), ())

    @property
    def actions(self) -> list[str]:
        """Faults and planned changes in order, with their times."""
        return self._changes.record.actions

    def _start_proxy(self, name: str, port: int) -> int:
        """Start a proxy in front of a port, from a worker thread."""
        link = proxy.Proxy(name, port)
        self._proxies[name] = link
        trio.from_thread.run_sync(self._nursery.start_soon, link.run)
        return link.port

    def _output_of(self, name: str) -> int | None:
        """Return the pipe for a gateway's output, or None for its log."""
        if name in self._pipes:
            return self._pipes[name].writer
        if len(self._pipes) >= self._options.piped_gateways:
            return None
        pipe = outputs.PipedOutput(self._folder / f"{name}.log")
        self._pipes[name] = pipe
        trio.from_thread.run_sync(self._nursery.start_soon, pipe.run)
        return pipe.writer

    async def run(self) -> tuple[str, ...]:
        """Run the installation under load, faults and planned changes.

        :returns: guarantees that were violated.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.to_thread.run_sync(self._installation.__enter__)
            try:
                violations = await self._run_workload()
            finally:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(
                        self._installation.__exit__, None, None, None
                    )
                for pipe in self._pipes.values():
                    pipe.close()
            nursery.cancel_scope.cancel()
        return violations

    async def _run_workload(self) -> tuple[str, ...]:
        await trio.to_thread.run_sync(self._installation.wait_until_serving)
        if self._options.idle:
            await self._changes.shorten_idle_timeout()
        async with trio.open_nursery() as nursery:
            self._callers.start(nursery)
            nursery.start_soon(self._record_delays)
            async with trio.open_nursery() as change_nursery:
                with trio.move_on_after(self._options.seconds):
                    await self._changes.run(change_nursery)
            await trio.sleep(CONFIGURATION_MARGIN_S)
            self._callers.finish()
            self._is_finished = True
        return await self._check()

    async def _record_delays(self) -> None:
        """Record when the soak's own process runs late."""
        while not self._is_finished:
            due_at = trio.current_time() + DELAY_CHECK_INTERVAL_S
            await trio.sleep_until(due_at)
            delay_s = trio.current_time() - due_at
            if delay_s > RECORDED_DELAY_S:
                self._changes.record.add(f"the soak ran {delay_s:.2f} s late")
            self.longest_delay_s = max(self.longest_delay_s, delay_s)

    async def _check(self) -> tuple[str, ...]:
        recovery_errors = []
        try:
            await trio.to_thread.run_sync(
                self._installation.wait_until_serving, RECOVERY_TIMEOUT_S
            )
        except TimeoutError as error:
            recovery_errors.append(f"did not recover: {error}")
        record = self._changes.record
        runs = await trio.to_thread.run_sync(self._installation.runs)
        crashing_runs = crashing_requests.runs_of(runs)
        ended = {run["endpoint"] for run in crashing_runs}
        self.observation = checks.Observation(
            tuple(self._callers.answers),
            tuple(run for run in runs if run not in crashing_runs),
            tuple(self._installation.engine_violations()),
            record.revoked,
            self._options.planned_only,
            cuts.Excuses(
                record.terminations,
                (*cuts.NO_TIMEOUT, *record.timeouts),
                killed=frozenset(record.killed | ended),
                gateway_kills=record.gateway_kills,
            ),
            tuple(record.late_exits),
            tuple(record.evacuations),
            await trio.to_thread.run_sync(self._callers_arrivals),
            tuple(crashing_runs),
        )
        return (*checks.find_violations(self.observation), *recovery_errors)

    def _callers_arrivals(self) -> tuple[evacuation.Arrival, ...]:
        if not self._options.evacuations:
            return ()
        return evacuation.arrivals_at(self._installation)


def run_seed(
    seed: int, options: options_module.Options, folder: pathlib.Path
) -> Result:
    """Run the soak test with one seed.

    :param seed: the seed.
    :param options: what the run does.
    :param folder: folder for settings and logs.
    """
    soak = Soak(seed, options, folder)
    violations = trio.run(soak.run)
    observation = soak.observation
    sorter = cuts.Sorter(observation.runs, observation.excuses)
    endings = map(sorter.ending, observation.answers)
    unfinished = [
        sorter.unfinished(answer)
        for answer in observation.answers
        if not answer.complete
    ]
    return Result(
        seed,
        tuple(soak.actions),
        _count_outcomes(observation.answers),
        dict(collections.Counter(endings)),
        tuple(unfinished),
        violations,
        soak.longest_delay_s,
    )


def _count_outcomes(answers: tuple[load.Answer, ...]) -> dict[int, int]:
    return dict(
        collections.Counter(
            answer.status if answer.complete else 0 for answer in answers
        )
    )
