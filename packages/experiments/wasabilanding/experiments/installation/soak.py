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
import shutil
import sys
import tempfile
import typing

import httpx
import trio
import typer

from wasabilanding.experiments.installation import changes
from wasabilanding.experiments.installation import checks
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import proxy

CALLER_COUNT = 12
CALLER_PAUSE_RANGE_S = (0.0, 0.25)
RECOVERY_TIMEOUT_S = 15.0
EXIT_FAILED = 1
# Exceeds the bound on the propagation of a configuration change.
CONFIGURATION_MARGIN_S = 1.0

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one seed.

    :param seed: the seed.
    :param actions: faults and planned changes in order, with their times.
    :param outcomes: answers by HTTP status; 0 counts incomplete answers.
    :param violations: guarantees that were violated.
    """

    seed: int
    actions: tuple[str, ...]
    outcomes: dict[int, int]
    violations: tuple[str, ...]


class Soak:
    """One run of the soak test.

    :param seed: seed of all random choices.
    :param planned_only: whether to make planned changes only, no faults.
    :param folder: folder for settings and logs.
    """

    def __init__(
        self, seed: int, planned_only: bool, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(seed)
        self._planned_only = planned_only
        self._proxies: dict[str, proxy.Proxy] = {}
        self._installation = launch.Installation(
            launch.Plan(), folder, self._start_proxy
        )
        self._changes = changes.ChangeInjector(
            self._installation, self._proxies, self._rng, planned_only
        )
        self._nursery: trio.Nursery | None = None
        self._count = 0
        self._is_finished = False
        self.answers: list[load.Answer] = []

    @property
    def actions(self) -> list[str]:
        """Faults and planned changes in order, with their times."""
        return self._changes.actions

    def _start_proxy(self, name: str, port: int) -> int:
        """Start a proxy in front of a port, from a worker thread."""
        link = proxy.Proxy(name, port)
        self._proxies[name] = link
        trio.from_thread.run_sync(self._nursery.start_soon, link.run)
        return link.port

    async def run(self, seconds: float) -> tuple[str, ...]:
        """Run the installation under load, faults and planned changes.

        :param seconds: time in which faults and changes are started.
        :returns: guarantees that were violated.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.to_thread.run_sync(self._installation.__enter__)
            try:
                violations = await self._run_workload(seconds)
            finally:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(
                        self._installation.__exit__, None, None, None
                    )
            nursery.cancel_scope.cancel()
        return violations

    async def _run_workload(self, seconds: float) -> tuple[str, ...]:
        await trio.to_thread.run_sync(self._installation.wait_until_serving)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLER_COUNT):
                nursery.start_soon(self._send_requests)
            async with trio.open_nursery() as change_nursery:
                with trio.move_on_after(seconds):
                    await self._changes.run(change_nursery)
            await trio.sleep(CONFIGURATION_MARGIN_S)
            self._is_finished = True
        return await self._check()

    async def _check(self) -> tuple[str, ...]:
        recovery_errors = []
        try:
            await trio.to_thread.run_sync(
                self._installation.wait_until_serving, RECOVERY_TIMEOUT_S
            )
        except TimeoutError as error:
            recovery_errors.append(f"did not recover: {error}")
        observation = checks.Observation(
            tuple(self.answers),
            tuple(await trio.to_thread.run_sync(self._installation.runs)),
            tuple(self._installation.engine_violations()),
            self._changes.revoked,
            self._planned_only,
        )
        return (*checks.find_violations(observation), *recovery_errors)

    async def _send_requests(self) -> None:
        """Send requests to random gateways on keep-alive connections."""
        async with httpx.AsyncClient() as client:
            while not self._is_finished:
                gateway = self._rng.choice(self._installation.gateways)
                key = self._rng.choice(changes.KEYS)
                self._count += 1
                request = load.random_request(self._rng, self._count, key)
                self.answers.append(await load.send(client, gateway, request))
                await trio.sleep(self._rng.uniform(*CALLER_PAUSE_RANGE_S))


def run_seed(
    seed: int, seconds: float, planned_only: bool, folder: pathlib.Path
) -> Result:
    """Run the soak test with one seed.

    :param seed: the seed.
    :param seconds: time in which faults and changes are started.
    :param planned_only: whether to make planned changes only, no faults.
    :param folder: folder for settings and logs.
    """
    soak = Soak(seed, planned_only, folder)
    violations = trio.run(soak.run, seconds)
    outcomes = collections.Counter(
        answer.status if answer.complete else 0 for answer in soak.answers
    )
    return Result(seed, tuple(soak.actions), dict(outcomes), violations)


def _print_result(result: Result) -> None:
    outcomes = ", ".join(
        f"{status}: {count}"
        for status, count in sorted(result.outcomes.items())
    )
    verdict = "FAILED" if result.violations else "passed"
    print(
        f"seed {result.seed}: {verdict}; {len(result.actions)} changes; "
        f"answers {outcomes}",
        flush=True,
    )
    for text in result.violations:
        print(f"  {text}", flush=True)


@app.command()
def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    count: typing.Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of faults for each seed.")
    ] = 12.0,
    planned: typing.Annotated[
        bool, typer.Option(help="Planned changes only; no answer may be cut.")
    ] = False,
    keep: typing.Annotated[
        pathlib.Path,
        typer.Option(help="Folder for the logs of failed seeds."),
    ] = pathlib.Path("soak-logs"),
) -> None:
    """Run the soak test with consecutive seeds."""
    failed_seeds = 0
    for current_seed in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            result = run_seed(current_seed, seconds, planned, path)
            _print_result(result)
            if result.violations:
                failed_seeds += 1
                (path / "actions").write_text("\n".join(result.actions))
                shutil.copytree(
                    path, keep / str(current_seed), dirs_exist_ok=True
                )
    print(f"{count} seeds, {failed_seeds} failed", flush=True)
    sys.exit(EXIT_FAILED if failed_seeds else 0)


if __name__ == "__main__":
    app()
