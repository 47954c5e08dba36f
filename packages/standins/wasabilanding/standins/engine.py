"""Model engines: orders, replicas and generation.

Explanation
===========

A :class:`Fleet` holds the engines of one failure domain. A request runs at
the leader of a replica; each step needs every member of the replica alive
and in the same replica and epoch, so losing any of them fails all streams.
The generated text depends on the request alone, and every engine keeps a log
of what it ran.
"""

import collections
import collections.abc
import dataclasses
import hashlib

import trio

from wasabilanding.standins import faults

POISON = "POISON-PILL"


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """How an engine behaves.

    :param step_s: time of one step in seconds.
    :param checks_fence: whether it refuses orders with an old fencing
        number.
    :param max_running: requests in one batch.
    """

    step_s: float = 0.008
    checks_fence: bool = True
    max_running: int = 32


@dataclasses.dataclass
class Run:
    """One attempt at an engine.

    :param attempt_id: identity of the attempt.
    :param prompt: text of the request.
    :param length: parts to generate.
    :param generated: parts that were generated.
    :param state: running, finished, cancelled or failed.
    """

    attempt_id: str
    prompt: str
    length: int
    generated: int = 0
    state: str = "running"
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def notify(self) -> None:
        """Wake those who wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def part(self, offset: int) -> str:
        """Return the text of one part."""
        return part_text(self.prompt, offset)


def part_text(prompt: str, offset: int) -> str:
    """Return what an engine generates for a prompt at an offset.

    :param prompt: text of the request.
    :param offset: place in the answer, from 0.
    """
    digest = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return f"{digest}-{offset} "


class Engine:
    """The engine on one VM.

    :param vm: identity of the VM.
    :param fleet: the fleet that it belongs to.
    :param settings: how it behaves.
    """

    def __init__(
        self, vm: str, fleet: "Fleet", settings: EngineSettings
    ) -> None:
        self.vm = vm
        self.settings = settings
        self.fleet = fleet
        self._reset()

    def _reset(self) -> None:
        self.alive = True
        self.leaving = False
        self.paused = trio.Event()
        self.paused.set()
        self.replica_id = ""
        self.epoch = 0
        self.fence = 0
        self.members: tuple[str, ...] = ()
        self.loaded: str = ""
        self.ready = False
        self.runs: dict[str, Run] = {}
        self.faults: collections.deque[faults.Fault] = collections.deque()

    @property
    def running(self) -> int:
        """Requests that it runs."""
        return sum(run.state == "running" for run in self.runs.values())

    def status(self) -> dict[str, object]:
        """Return its report as plain JSON."""
        state = "ready" if self.ready else "loading"
        return {
            "vm": self.vm,
            "state": state if self.replica_id else "idle",
            "replica_id": self.replica_id,
            "epoch": self.epoch,
            "running": self.running,
            "leaving": self.leaving,
        }

    def refuses(self, fence: int) -> bool:
        """Tell whether it refuses an order with this fencing number."""
        if self.settings.checks_fence and fence < self.fence:
            return True
        self.fence = max(fence, self.fence)
        return False

    async def load(self, replica: dict) -> None:
        """Take a place in a replica.

        :param replica: the replica as ordered.
        """
        place = (replica["replica_id"], replica["epoch"])
        if place == (self.replica_id, self.epoch):
            return
        self.fail_runs()
        self.replica_id, self.epoch = place
        self.members = tuple(replica["members"])
        self.ready = False
        wanted = f"{replica['model']}/{replica['version']}"
        if self.loaded != wanted:
            await self.fleet.fetch_weights(wanted)
        if self.alive and place == (self.replica_id, self.epoch):
            self.loaded = wanted
            self.ready = True

    def release(self, replica_id: str, epoch: int) -> None:
        """Leave a replica, if it is still in it."""
        if (replica_id, epoch) == (self.replica_id, self.epoch):
            self.fail_runs()
            self.replica_id = ""
            self.epoch = 0
            self.ready = False

    def fail_runs(self) -> None:
        """Fail everything that runs here."""
        for run in self.runs.values():
            if run.state == "running":
                run.state = "failed"
                run.notify()

    def is_whole(self) -> bool:
        """Tell whether the replica that this VM leads can make a step."""
        if not self.ready or self.members[:1] != (self.vm,):
            return False
        return all(
            self.fleet.confirms(vm, self.replica_id, self.epoch)
            for vm in self.members
        )

    def start(self, attempt_id: str, prompt: str, length: int) -> Run:
        """Start an attempt, or return the one that is known by its name."""
        if attempt_id in self.runs:
            return self.runs[attempt_id]
        run = Run(attempt_id, prompt, length)
        self.runs[attempt_id] = run
        self.fleet.log.append((attempt_id, prompt, self.vm))
        self.fleet.nursery.start_soon(self._generate, run)
        return run

    async def _generate(self, run: Run) -> None:
        while run.state == "running" and run.generated < run.length:
            await trio.sleep(self.settings.step_s)
            await self.paused.wait()
            if run.state != "running":
                break
            if POISON in run.prompt:
                self.fleet.kill(self.vm)
            if not self.alive or not self.is_whole():
                run.state = "failed"
                break
            run.generated += 1
            run.notify()
        if run.state == "running":
            run.state = "finished"
        run.notify()

    def die(self) -> None:
        """Lose the VM with everything on it."""
        self.fail_runs()
        self.alive = False
        self.ready = False

    def restart(self) -> None:
        """Come back empty."""
        self._reset()


FetchWeights = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class Fleet:
    """The engines of one failure domain.

    :param nursery: runs the generation.
    :param fetch_weights: fetches a model from the weight store.
    """

    def __init__(
        self, nursery: trio.Nursery, fetch_weights: FetchWeights
    ) -> None:
        self.nursery = nursery
        self.fetch_weights = fetch_weights
        self.engines: dict[str, Engine] = {}
        self.log: list[tuple[str, str, str]] = []
        self.on_kill: collections.abc.Callable[[str], None] = lambda vm: None

    def add(self, vm: str, settings: EngineSettings) -> Engine:
        """Add a VM.

        :param vm: its identity.
        :param settings: how its engine behaves.
        """
        self.engines[vm] = Engine(vm, self, settings)
        return self.engines[vm]

    def confirms(self, vm: str, replica_id: str, epoch: int) -> bool:
        """Tell whether a VM is alive and ready in this replica and epoch."""
        engine = self.engines.get(vm)
        return (
            engine is not None
            and engine.alive
            and engine.ready
            and (engine.replica_id, engine.epoch) == (replica_id, epoch)
        )

    def kill(self, vm: str) -> None:
        """Lose a VM at once.

        :param vm: its identity.
        """
        self.engines[vm].die()
        self.on_kill(vm)
