"""Continuous batching at the leader of a replica.

Explanation
===========

All running requests advance by one part per step. A step takes a fixed time,
a little for each running request, and the prefill of the prompts that join
the batch in it, as far as the prefix cache lacks them. Requests beyond the
batch wait by priority, then by arrival [1]_.

References
==========

.. [1] G.-I. Yu et al., "Orca: A Distributed Serving System for
       Transformer-Based Generative Models", OSDI 2022.
"""

import collections
import dataclasses
import hashlib

import trio

from wasabilanding.model import codec
from wasabilanding import routing
from wasabilanding.standins import prefix_cache

DEFAULT_PRIORITY = 5
LOAD_HISTORY_SIZE = 1024
POISON_MARKER = "POISON-PILL"


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """How an engine behaves.

    :param step_s: time of a step without requests, in seconds.
    :param step_slope_s: added to a step by each running request, in seconds.
    :param prefill_token_s: added to a step by each prompt token that is not
        cached, in seconds.
    :param checks_fence: whether it refuses orders with an old fencing
        number.
    :param max_running: requests in one batch.
    :param max_queued: requests that wait for the batch.
    :param cache_blocks: prompt blocks that the prefix cache holds.
    :param report_lag_s: age of the load that it reports, in seconds.
    :param event_lag_s: age at which cache events are published, in seconds.
    :param event_lost_every: every cache event whose number it divides is
        lost; 0 for none.
    :param slow_factor: by which all steps take longer.
    :param broken_weights: weights that it fails to load, as model/version.
    """

    __pydantic_config__ = codec.STRICT

    step_s: float = 0.008
    step_slope_s: float = 0.0
    prefill_token_s: float = 0.0
    checks_fence: bool = True
    max_running: int = 32
    max_queued: int = 64
    cache_blocks: int = 2048
    report_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_lost_every: int = 0
    slow_factor: float = 1.0
    broken_weights: tuple[str, ...] = ()


def part_text(prompt: str, offset: int) -> str:
    """Return what an engine generates for a prompt at an offset.

    :param prompt: text of the request.
    :param offset: place in the answer, from 0.
    """
    digest = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return f"{digest}-{offset} "


class Run:
    """One attempt at an engine.

    :param attempt_id: identity of the attempt.
    :param prompt: text of the request.
    :param length: parts to generate.
    :param priority: from 0, served last, to 9.
    """

    def __init__(
        self,
        attempt_id: str,
        prompt: str,
        length: int,
        priority: int = DEFAULT_PRIORITY,
    ) -> None:
        self._changed: trio.Event | None = None
        self.attempt_id = attempt_id
        self.prompt = prompt
        self.length = length
        self.priority = priority
        self.blocks = routing.block_hashes(prompt)
        self.cached_blocks = 0
        self.generated = 0
        self.first_part_at: float | None = None
        self.replica = ""
        self.ended = trio.Event()
        # running (also while it waits), finished, cancelled or failed.
        self.state = "running"

    @property
    def changed(self) -> trio.Event:
        """Event of the next change."""
        if self._changed is None:
            self._changed = trio.Event()
        return self._changed

    def notify(self) -> None:
        """Wake those who wait for a change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def end(self, state: str) -> None:
        """Note how it ended, unless it has ended before.

        :param state: finished, cancelled or failed.
        """
        if self.state == "running":
            self.state = state
            self.ended.set()
            self.notify()

    def part(self, offset: int) -> str:
        """Return the text of one part."""
        return part_text(self.prompt, offset)


class Batch:
    """Requests of one replica: those that run and those that wait.

    :param settings: how the engine behaves.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._arrivals = 0
        self._waiting: list[tuple[int, int, Run]] = []
        self._running: list[Run] = []
        self._uncached_tokens = 0
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque(
                [(float("-inf"), 0, 0)], maxlen=LOAD_HISTORY_SIZE
            )
        )
        self.cache = prefix_cache.PrefixCache(settings.cache_blocks)
        self.stepping = False

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return sum(run.state == "running" for run in self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for the batch."""
        return sum(run.state == "running" for _, _, run in self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether a further request is refused."""
        capacity = self._settings.max_running + self._settings.max_queued
        return self.running + self.queued >= capacity

    def load_at(self, at: float) -> tuple[int, int]:
        """Return the requests that ran and that waited at a time.

        :param at: time in seconds.
        """
        for since, running, queued in reversed(self._loads):
            if since <= at:
                return running, queued
        return self._loads[0][1:]

    def _record_load(self) -> None:
        load = (trio.current_time(), self.running, self.queued)
        if load[1:] != self._loads[-1][1:]:
            self._loads.append(load)

    def add(self, run: Run) -> None:
        """Queue a request."""
        self._arrivals += 1
        self._waiting.append((-run.priority, self._arrivals, run))
        self._waiting.sort(key=lambda entry: entry[:2])
        self._record_load()

    def begin_step(self) -> bool:
        """Fill the batch; return False when there is nothing to run."""
        self._uncached_tokens = 0
        self._running = [r for r in self._running if r.state == "running"]
        self._waiting = [e for e in self._waiting if e[2].state == "running"]
        free_slots = self._settings.max_running - len(self._running)
        joining = [entry[2] for entry in self._waiting[:free_slots]]
        del self._waiting[:free_slots]
        for run in joining:
            self._join(run)
        self._record_load()
        return bool(self._running)

    def _join(self, run: Run) -> None:
        run.cached_blocks = self.cache.match(run.blocks)
        cached = run.cached_blocks * routing.BLOCK_TOKENS
        tokens = routing.token_count(run.prompt)
        self._uncached_tokens += max(0, tokens - cached)
        self.cache.store(run.blocks, trio.current_time())
        self._running.append(run)

    def step_s(self) -> float:
        """Return how long the step takes in seconds."""
        settings = self._settings
        return settings.slow_factor * (
            settings.step_s
            + settings.step_slope_s * len(self._running)
            + settings.prefill_token_s * self._uncached_tokens
        )

    def is_poisoned(self) -> bool:
        """Tell whether a running request crashes the engine."""
        return any(
            POISON_MARKER in run.prompt
            for run in self._running
            if run.state == "running"
        )

    def end_step(self) -> None:
        """Give each running request its part."""
        now = trio.current_time()
        for run in self._running:
            if run.state != "running":
                continue
            run.generated += 1
            if run.first_part_at is None:
                run.first_part_at = now
            if run.generated >= run.length:
                run.end("finished")
            else:
                run.notify()

    def fail(self) -> None:
        """Fail everything that runs or waits."""
        for run in [*self._running, *(e[2] for e in self._waiting)]:
            run.end("failed")
        self._running.clear()
        self._waiting.clear()
        self._record_load()

    def update_settings(self, settings: EngineSettings) -> None:
        """Change how the engine behaves while it runs.

        :param settings: the new settings.
        """
        self._settings = settings
