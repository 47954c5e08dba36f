"""Simulated model engines: orders, replicas and generation.

Explanation
===========

A :class:`Fleet` holds the engines of one failure domain. A request runs on
the leader of a replica. Each step needs every member alive and in the same
replica and epoch, so the loss of any member fails all streams. The generated
text depends on the request alone, and the fleet logs every attempt that its
engines start.
"""

import collections
import collections.abc
import dataclasses

import trio

from wasabilanding import routing
from wasabilanding.standins import batching
from wasabilanding.standins import faults

EngineSettings = batching.EngineSettings
POISON_MARKER = batching.POISON_MARKER
Run = batching.Run
part_text = batching.part_text


def weights_name(order: dict) -> str:
    """Return the name of the weights in an order.

    :param order: order with model, version and adapters.
    """
    parts = (order["model"], order["version"], *order.get("adapters", ()))
    return "/".join(parts)


class Engine:
    """The engine on one VM.

    :param vm: ID of the VM.
    :param fleet: fleet that the engine belongs to.
    :param settings: timing, limits and faults of the engine.
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
        self.loaded_weights: str = ""
        self.ready = False
        self.draining = False
        self.fetching_weights = ""
        self.wanted_weights = ""
        self.runs: dict[str, Run] = {}
        self.faults: collections.deque[faults.Fault] = collections.deque()
        self.batch = batching.Batch(self.settings)

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return self.batch.running

    @property
    def is_full(self) -> bool:
        """Whether the batch and its queue are full."""
        return self.batch.is_full

    def slow_down(self, factor: float) -> None:
        """Multiply the duration of all steps.

        :param factor: multiplier; 1 restores the normal duration.
        """
        self.settings = dataclasses.replace(self.settings, slow_factor=factor)
        self.batch.update_settings(self.settings)

    def _state(self) -> str:
        if self.fetching_weights:
            return "loading"
        if not self.replica_id:
            return "preloaded" if self.loaded_weights else "idle"
        if self.draining:
            return "draining"
        return "ready" if self.ready else "failed"

    def status(self) -> dict[str, object]:
        """Return the status report as a JSON object."""
        observed_at = trio.current_time() - self.settings.report_lag_s
        running, queued = self.batch.load_at(observed_at)
        return {
            "vm": self.vm,
            "state": self._state(),
            "replica_id": self.replica_id,
            "epoch": self.epoch,
            "running": running,
            "queued": queued,
            "leaving": self.leaving,
        }

    def cache_events(self, after: int) -> routing.CacheEvents:
        """Return the published cache events of the engine.

        :param after: last sequence number that the caller has.
        """
        until = trio.current_time() - self.settings.event_lag_s
        events = self.batch.cache.published(
            after, until, self.settings.event_lost_every
        )
        return routing.CacheEvents(self.replica_id, self.epoch, events)

    def rejects_fence(self, fence: int) -> bool:
        """Return whether to reject a fencing token; record it otherwise.

        :param fence: fencing token of an order.
        """
        if self.settings.checks_fence and fence < self.fence:
            return True
        self.fence = max(fence, self.fence)
        return False

    async def load(self, replica: dict) -> None:
        """Join a replica and load its weights.

        :param replica: replica from the order.
        """
        replica_key = (replica["replica_id"], replica["epoch"])
        if replica_key == (self.replica_id, self.epoch):
            return
        self.fail_runs()
        # The cache is lost with the membership; its events restart at 1.
        self.batch = batching.Batch(self.settings)
        self.replica_id, self.epoch = replica_key
        self.members = tuple(replica["members"])
        self.ready = False
        self.draining = False
        self.wanted_weights = weights_name(replica)
        await self.preload(self.wanted_weights)
        self._mark_ready()

    def _mark_ready(self) -> None:
        if self.replica_id and self.loaded_weights == self.wanted_weights:
            self.ready = True

    async def preload(self, weights: str) -> None:
        """Load weights unless they are already loaded or being fetched.

        :param weights: name of the weights.
        """
        if weights in (self.loaded_weights, self.fetching_weights):
            return
        fetching = self.fetching_weights = weights
        self.loaded_weights = ""
        runs_before_fetch = self.runs
        await self.fleet.fetch_weights(weights)
        if (
            runs_before_fetch is not self.runs
            or self.fetching_weights != fetching
        ):
            return
        self.fetching_weights = ""
        if self.alive and weights not in self.settings.broken_weights:
            self.loaded_weights = weights
        self._mark_ready()

    def drain(self, replica_id: str, epoch: int) -> None:
        """Refuse new requests, if the engine is still in this replica."""
        if (replica_id, epoch) == (self.replica_id, self.epoch):
            self.draining = True

    def release(self, replica_id: str, epoch: int) -> None:
        """Leave a replica, if the engine is still in it."""
        if (replica_id, epoch) == (self.replica_id, self.epoch):
            self.fail_runs()
            self.replica_id = ""
            self.epoch = 0
            self.ready = False
            self.draining = False

    def fail_runs(self) -> None:
        """Fail all running and queued requests."""
        self.batch.fail()

    def is_whole(self) -> bool:
        """Return whether this VM leads a replica with all members ready."""
        if not self.ready or self.members[:1] != (self.vm,):
            return False
        return all(
            self.fleet.is_ready_in(vm, self.replica_id, self.epoch)
            for vm in self.members
        )

    def start(
        self,
        attempt_id: str,
        prompt: str,
        length: int,
        priority: int = batching.DEFAULT_PRIORITY,
    ) -> Run:
        """Start an attempt, or return the existing one with the same ID.

        :param attempt_id: ID of the attempt.
        :param prompt: text of the request.
        :param length: number of parts to generate.
        :param priority: priority from 0 (served last) to 9.
        """
        if attempt_id in self.runs:
            return self.runs[attempt_id]
        run = Run(attempt_id, prompt, length, priority)
        run.replica = f"{self.vm}@{self.epoch}"
        self.runs[attempt_id] = run
        self.fleet.log.append((attempt_id, prompt, self.vm))
        self.batch.add(run)
        if not self.batch.stepping:
            self.batch.stepping = True
            self.fleet.nursery.start_soon(self._step, self.batch)
        return run

    async def _step(self, batch: batching.Batch) -> None:
        while batch.begin_step():
            await trio.sleep(batch.step_s())
            await self.paused.wait()
            if batch.is_poisoned():
                self.fleet.kill(self.vm)
            if not self.alive or not self.is_whole():
                batch.fail()
                break
            batch.end_step()
        batch.stepping = False

    def crash(self) -> None:
        """Stop the engine and fail its requests, as when its VM is lost."""
        self.fail_runs()
        self.alive = False
        self.ready = False

    def restart(self) -> None:
        """Restart with initial state."""
        self._reset()


FetchWeights = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class Fleet:
    """The engines of one failure domain.

    :param nursery: runs the generation steps.
    :param fetch_weights: fetches weights by name from the weight store.
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
        """Add a VM with an engine.

        :param vm: ID of the VM.
        :param settings: timing, limits and faults of the engine.
        """
        self.engines[vm] = Engine(vm, self, settings)
        return self.engines[vm]

    def is_ready_in(self, vm: str, replica_id: str, epoch: int) -> bool:
        """Return whether a VM is alive and ready in a replica and epoch.

        :param vm: ID of the VM.
        :param replica_id: replica ID.
        :param epoch: epoch of the replica.
        """
        engine = self.engines.get(vm)
        return (
            engine is not None
            and engine.alive
            and engine.ready
            and (engine.replica_id, engine.epoch) == (replica_id, epoch)
        )

    def kill(self, vm: str) -> None:
        """Crash the engine of a VM and call ``on_kill``.

        :param vm: ID of the VM.
        """
        self.engines[vm].crash()
        self.on_kill(vm)
