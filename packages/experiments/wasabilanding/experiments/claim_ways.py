"""Compares three strategies of claiming idempotency keys.

Explanation
===========

All three run on the mock clock against the stand-in store with a limit on
its writes per second:

``request``
    writes one key per claim;
``group``
    forwards claims to the holder of the key's shard, which commits many of
    them with one compare-and-swap of the next log segment of the shard;
``home``
    forwards each claim to the home failure domain of the key, which writes
    one key per claim.

Only claims whose writes took effect are counted as successful. Ends of
requests are written in the same way: ``request`` and ``home`` write one key
each, ``group`` includes them in the segments.

Run it with ``python -m wasabilanding.experiments.claim_ways``.
"""

import dataclasses
import functools
import hashlib
import random

import trio
import typer

from wasabilanding.experiments import cluster
from wasabilanding import standins

DOMAINS = ("prov", "nunoa", "maipu")
WRITES_PER_S = 300
STORE_DELAY_S = 0.003
PEER_DELAY_S = 0.001
CLAIM_TIMEOUT_S = 1.0
SHARDS = 9
RUN_S = 5.0
FAULT_START_S = 2.0
FAULT_S = 1.0
TAKEOVER_S = 3.0
REQUEST_DURATION_S = 0.5
MS_PER_S = 1000


class LimitedStore:
    """The stand-in store with a limit on its write rate.

    :param store: the store.
    """

    def __init__(self, store: standins.Store) -> None:
        self._store = store
        self._free_at = 0.0
        self.cut_domains: set[str] = set()
        self.writes = 0

    async def put(self, origin: str, key: str, value: str) -> bool:
        """Create a key within the write rate; may wait.

        :param origin: failure domain of the writer.
        :param key: the key.
        :param value: the value.
        :returns: whether it was created.
        :raises TimeoutError: when the store is unreachable from there.
        """
        if origin in self.cut_domains:
            await trio.sleep(CLAIM_TIMEOUT_S)
            raise TimeoutError(f"{origin} is cut off from the store")
        now = trio.current_time()
        self._free_at = max(self._free_at, now) + 1 / WRITES_PER_S
        self.writes += 1
        await trio.sleep(self._free_at - now + STORE_DELAY_S)
        return self._store.put(key, value, 0) is not None


async def claim_per_request(
    store: LimitedStore, origin: str, key: str
) -> bool:
    """Claim a key with one write from the entry VM.

    :param store: the store.
    :param origin: failure domain of the entry VM.
    :param key: the key.
    """
    return await store.put(origin, key, "claim")


def _hash_key(key: str) -> int:
    return int.from_bytes(hashlib.blake2b(key.encode()).digest()[:8])


async def claim_at_home(store: LimitedStore, origin: str, key: str) -> bool:
    """Claim a key with one write from its home failure domain.

    :param store: the store.
    :param origin: failure domain of the entry VM.
    :param key: the key.
    """
    home = DOMAINS[_hash_key(key) % len(DOMAINS)]
    hop_s = PEER_DELAY_S if home != origin else 0.0
    await trio.sleep(hop_s)
    created = await store.put(home, key, "claim")
    await trio.sleep(hop_s)
    return created


@dataclasses.dataclass
class _PendingClaim:
    key: str
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    created: bool = False


class Shard:
    """One shard of the group commit, with its holder.

    :param store: the store.
    :param number: number of the shard.
    """

    def __init__(self, store: LimitedStore, number: int) -> None:
        self._store = store
        self._number = number
        self._segment = 0
        self._claimed: set[str] = set()
        self._pending: list[_PendingClaim] = []
        self._arrived = trio.Event()
        self.holder = DOMAINS[number % len(DOMAINS)]
        self.holder_down_until = 0.0

    async def claim(self, origin: str, key: str) -> bool:
        """Forward a claim to the holder and wait for its commit.

        :param origin: failure domain of the entry VM.
        :param key: the key.
        """
        hop_s = PEER_DELAY_S if self.holder != origin else 0.0
        await trio.sleep(hop_s)
        pending = _PendingClaim(key)
        self._pending.append(pending)
        self._arrived.set()
        await pending.done.wait()
        await trio.sleep(hop_s)
        return pending.created

    async def run(self) -> None:
        """Commit pending claims, one segment after another."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            takeover_s = self.holder_down_until - trio.current_time()
            if takeover_s > 0:
                await trio.sleep(takeover_s)
            await self._commit()

    async def _commit(self) -> None:
        batch, self._pending = self._pending, []
        new_keys = {w.key for w in batch} - self._claimed
        key = f"shard/{self._number}/{self._segment}"
        try:
            committed = await self._store.put(
                self.holder, key, " ".join(sorted(new_keys))
            )
        except TimeoutError:
            committed = False
        if not committed:
            self._pending = batch + self._pending
            self._arrived.set()
            return
        self._segment += 1
        self._claimed |= new_keys
        for pending in batch:
            pending.created = pending.key in new_keys
            new_keys.discard(pending.key)
            pending.done.set()


@dataclasses.dataclass
class Measurements:
    """Measurements of one run.

    :param latencies_s: latency of each successful claim, in seconds.
    :param not_run: number of claims that did not succeed in time.
    :param writes: number of writes at the store.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    not_run: int = 0
    writes: int = 0

    def latency_ms(self, share: float) -> float:
        """Return a percentile of the latency in milliseconds.

        :param share: percentile as a fraction from 0 to 1.
        """
        ranked = sorted(self.latencies_s) or [float("nan")]
        return ranked[int(share * (len(ranked) - 1))] * MS_PER_S

    @property
    def writes_per_request(self) -> float:
        """Writes at the store per successful claim."""
        return self.writes / max(1, len(self.latencies_s))


class _Run:
    def __init__(self, strategy: str, nursery: trio.Nursery) -> None:
        self.store = LimitedStore(standins.Store())
        self.measurements = Measurements()
        self.shards = [Shard(self.store, i) for i in range(SHARDS)]
        self._strategy = strategy
        self._nursery = nursery
        if strategy == "group":
            for shard in self.shards:
                nursery.start_soon(shard.run)

    async def claim(self, origin: str, key: str) -> bool:
        if self._strategy == "request":
            return await claim_per_request(self.store, origin, key)
        if self._strategy == "home":
            return await claim_at_home(self.store, origin, key)
        shard = self.shards[_hash_key(key) % SHARDS]
        return await shard.claim(origin, key)

    async def run_request(self, origin: str, key: str) -> None:
        started_at = trio.current_time()
        created = False
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            try:
                created = await self.claim(origin, key)
            except TimeoutError:
                created = False
        if not created:
            self.measurements.not_run += 1
            return
        self.measurements.latencies_s.append(trio.current_time() - started_at)
        await trio.sleep(REQUEST_DURATION_S)
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            await self.claim(origin, f"{key}/end")

    async def inject_fault(self, fault: str) -> None:
        await trio.sleep(FAULT_START_S)
        if fault == "cut":
            self.store.cut_domains.add(DOMAINS[0])
            await trio.sleep(FAULT_S)
            self.store.cut_domains.clear()
        elif fault == "holder lost":
            until = trio.current_time() + TAKEOVER_S
            self.shards[0].holder_down_until = until


async def measure(strategy: str, rate: float, fault: str) -> Measurements:
    """Run one strategy at one rate; to be called by ``run_seeded``.

    :param strategy: request, group or home.
    :param rate: non-idempotent requests per second.
    :param fault: none, cut (one failure domain is cut off from the store for
        a second) or holder lost (one shard has no holder until its lease
        expires).
    """
    rng = random.Random(1)
    async with trio.open_nursery() as nursery:
        run = _Run(strategy, nursery)
        async with trio.open_nursery() as requests:
            requests.start_soon(run.inject_fault, fault)
            number = 0
            while trio.current_time() < RUN_S:
                await trio.sleep(rng.expovariate(rate))
                number += 1
                origin = rng.choice(DOMAINS)
                requests.start_soon(run.run_request, origin, f"key-{number}")
        nursery.cancel_scope.cancel()
    run.measurements.writes = run.store.writes
    return run.measurements


def main() -> None:
    """Print a table for all strategies, rates and faults."""
    typer.echo(
        "way      rate/s  fault        writes/req  p50 ms  p99 ms  not run"
    )
    for fault, rates in (
        ("none", (10, 100, 1000, 4000)),
        ("cut", (50,)),
        ("holder lost", (50,)),
    ):
        for rate in rates:
            for strategy in ("request", "group", "home"):
                typer.echo(_row(strategy, rate, fault))


def _row(strategy: str, rate: float, fault: str) -> str:
    result = cluster.run_seeded(
        functools.partial(measure, strategy, rate, fault)
    )
    total = len(result.latencies_s) + result.not_run
    return (
        f"{strategy:8} {rate:6}  {fault:11}  {result.writes_per_request:10.2f}"
        f"  {result.latency_ms(0.5):6.1f}  {result.latency_ms(0.99):6.1f}"
        f"  {result.not_run / total:7.1%}"
    )


if __name__ == "__main__":
    main()
