"""Continuous batching at the leader of a replica.

Explanation
===========

All running requests advance by one part per step. The duration of a step is
the sum of a fixed time, a time per running request and the prefill time of
prompt tokens that join the batch and are not in the prefix cache. Requests
beyond the batch are queued by priority, then by arrival [1]_.

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
    """Timing, limits and faults of an engine.

    :param step_s: time of a step without requests, in seconds.
    :param step_slope_s: added to a step by each running request, in seconds.
    :param prefill_token_s: added to a step by each prompt token that is not
        cached, in seconds.
    :param checks_fence: whether it refuses orders with an old fencing token.
    :param max_running: maximum requests in one batch.
    :param max_queued: maximum requests in the queue.
    :param cache_blocks: prompt blocks that the prefix cache holds.
    :param report_lag_s: age of the load that it reports, in seconds.
    :param event_lag_s: age at which cache events are published, in seconds.
    :param event_lost_every: cache events whose sequence number is a multiple
        of this are lost; 0 for none.
    :param slow_factor: multiplier of the duration of all steps.
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
    """Return the part that an engine generates for a prompt at an offset.

    :param prompt: text of the request.
    :param offset: index of the part in the answer, from 0.
    """
    digest = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return f"{digest}-{offset} "


class Run:
    """One attempt on an engine.

    :param attempt_id: ID of the attempt.
    :param prompt: text of the request.
    :param length: number of parts to generate.
    :param priority: priority from 0 (served last) to 9.
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
        # "running" (also while queued), "finished", "cancelled" or "failed".
        self.state = "running"

    @property
    def changed(self) -> trio.Event:
        """Event that is set at the next change."""
        if self._changed is None:
            self._changed = trio.Event()
        return self._changed

    def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def end(self, state: str) -> None:
        """Set the final state, unless the attempt has already ended.

        :param state: ``finished``, ``cancelled`` or ``failed``.
        """
        if self.state == "running":
            self.state = state
            self.ended.set()
            self.notify()

    def part(self, offset: int) -> str:
        """Return the text of one part."""
        return part_text(self.prompt, offset)


class Batch:
    """Running and queued requests of one replica.

    :param settings: timing, limits and faults of the engine.
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
        """Number of requests in the batch."""
        return sum(run.state == "running" for run in self._running)

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return sum(run.state == "running" for _, _, run in self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the batch and its queue are full."""
        capacity = self._settings.max_running + self._settings.max_queued
        return self.running + self.queued >= capacity

    def load_at(self, at: float) -> tuple[int, int]:
        """Return the numbers of running and queued requests at a time.

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
        """Return the duration of the current step in seconds."""
        settings = self._settings
        return settings.slow_factor * (
            settings.step_s
            + settings.step_slope_s * len(self._running)
            + settings.prefill_token_s * self._uncached_tokens
        )

    def is_poisoned(self) -> bool:
        """Return whether a running request crashes the engine."""
        return any(
            POISON_MARKER in run.prompt
            for run in self._running
            if run.state == "running"
        )

    def end_step(self) -> None:
        """Generate one part for each running request."""
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
        """Fail all running and queued requests."""
        for run in [*self._running, *(e[2] for e in self._waiting)]:
            run.end("failed")
        self._running.clear()
        self._waiting.clear()
        self._record_load()

    def update_settings(self, settings: EngineSettings) -> None:
        """Replace the settings of a running engine.

        :param settings: the new settings.
        """
        self._settings = settings
