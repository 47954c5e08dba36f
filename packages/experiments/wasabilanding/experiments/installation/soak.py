"""The fault soak: real processes, random faults from outside, promises.

Explanation
===========

A seed draws an installation's faults and planned changes, in series and
overlapping, while callers use kept connections until a process is gone. At
the end everything is mended and must serve again. What callers got and what
the engines ran is checked by :func:`wasabilanding.experiments.installation.
violations`. Processes and ports are real, so that a seed repeats what is
done, not how the machine schedules it.
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

CALLERS = 12
PAUSE_S = (0.0, 0.25)
RECOVERY_S = 15.0
EXIT_BROKEN = 1
# A safe margin over the bound on a change of the configuration.
LAST_CHANGE_S = 1.0

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one seed.

    :param seed: the seed.
    :param actions: what was done, in order.
    :param outcomes: answers by status; 0 for none that is whole.
    :param broken: what did not hold.
    """

    seed: int
    actions: tuple[str, ...]
    outcomes: dict[int, int]
    broken: tuple[str, ...]


class Soak:
    """One run of the soak.

    :param seed: draws what is done.
    :param planned_only: whether only planned changes are made.
    :param folder: takes settings and logs.
    """

    def __init__(
        self, seed: int, planned_only: bool, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(seed)
        self._planned_only = planned_only
        self._proxies: dict[str, proxy.Proxy] = {}
        self._installation = launch.Installation(
            launch.Plan(), folder, self._forward
        )
        self._changes = changes.Changes(
            self._installation, self._proxies, self._rng, planned_only
        )
        self._nursery: trio.Nursery | None = None
        self._count = 0
        self._is_over = False
        self.answers: list[load.Answer] = []

    @property
    def actions(self) -> list[str]:
        """What was done, in order."""
        return self._changes.actions

    def _forward(self, name: str, port: int) -> int:
        """Put a proxy before a port, from the thread that starts processes."""
        link = proxy.Proxy(name, port)
        self._proxies[name] = link
        trio.from_thread.run_sync(self._nursery.start_soon, link.run)
        return link.port

    async def run(self, seconds: float) -> tuple[str, ...]:
        """Run the installation with all that happens to it.

        :param seconds: how long things happen.
        :returns: what did not hold.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.to_thread.run_sync(self._installation.__enter__)
            try:
                broken = await self._play(seconds)
            finally:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(
                        self._installation.__exit__, None, None, None
                    )
            nursery.cancel_scope.cancel()
        return broken

    async def _play(self, seconds: float) -> tuple[str, ...]:
        await trio.to_thread.run_sync(self._installation.wait_until_serving)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._call)
            async with trio.open_nursery() as under_way:
                with trio.move_on_after(seconds):
                    await self._changes.run(under_way)
            await trio.sleep(LAST_CHANGE_S)
            self._is_over = True
        return await self._judge()

    async def _judge(self) -> tuple[str, ...]:
        late = []
        try:
            await trio.to_thread.run_sync(
                self._installation.wait_until_serving, RECOVERY_S
            )
        except TimeoutError as error:
            late.append(f"does not serve again: {error}")
        seen = checks.Observation(
            tuple(self.answers),
            tuple(await trio.to_thread.run_sync(self._installation.runs)),
            tuple(self._installation.broken_by_engines()),
            self._changes.revoked,
            self._planned_only,
        )
        return (*checks.violations(seen), *late)

    async def _call(self) -> None:
        """Send requests, each to a random gateway, on kept connections."""
        async with httpx.AsyncClient() as client:
            while not self._is_over:
                gateway = self._rng.choice(self._installation.gateways)
                key = self._rng.choice(changes.KEYS)
                self._count += 1
                request = load.draw(self._rng, self._count, key)
                self.answers.append(await load.send(client, gateway, request))
                await trio.sleep(self._rng.uniform(*PAUSE_S))


def run_seed(
    seed: int, seconds: float, planned_only: bool, folder: pathlib.Path
) -> Result:
    """Run one seed.

    :param seed: the seed.
    :param seconds: how long faults and changes happen.
    :param planned_only: whether only planned changes are made.
    :param folder: takes settings and logs.
    """
    soak = Soak(seed, planned_only, folder)
    broken = trio.run(soak.run, seconds)
    outcomes = collections.Counter(
        answer.status if answer.whole else 0 for answer in soak.answers
    )
    return Result(seed, tuple(soak.actions), dict(outcomes), broken)


def _show(result: Result) -> None:
    outcomes = ", ".join(
        f"{status}: {count}"
        for status, count in sorted(result.outcomes.items())
    )
    verdict = "BROKEN" if result.broken else "kept"
    print(
        f"seed {result.seed}: {verdict}; {len(result.actions)} changes; "
        f"answers {outcomes}",
        flush=True,
    )
    for text in result.broken:
        print(f"  {text}", flush=True)


@app.command()
def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    count: typing.Annotated[int, typer.Option(help="Seeds to run.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of faults for each seed.")
    ] = 12.0,
    planned: typing.Annotated[
        bool, typer.Option(help="Planned changes only: nothing may be cut.")
    ] = False,
    keep: typing.Annotated[
        pathlib.Path, typer.Option(help="Takes the logs of broken seeds.")
    ] = pathlib.Path("soak-logs"),
) -> None:
    """Run seeds of the soak one after the other."""
    broken = 0
    for one in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            result = run_seed(one, seconds, planned, path)
            _show(result)
            if result.broken:
                broken += 1
                (path / "actions").write_text("\n".join(result.actions))
                shutil.copytree(path, keep / str(one), dirs_exist_ok=True)
    print(f"{count} seeds, {broken} broken", flush=True)
    sys.exit(EXIT_BROKEN if broken else 0)


if __name__ == "__main__":
    app()
