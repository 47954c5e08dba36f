"""Measures three ways of claiming keys against each other.

Explanation
===========

All three run on the mock clock against the stand-in store behind a limit of
writes a second: ``request`` writes one key per claim, ``group`` forwards
claims to the holder of the key's shard, which commits many in one
compare-and-swap of the shard's next log segment, and ``home`` forwards each
claim to the key's home failure domain, which writes one key per claim.
Only a claim whose write took effect counts. Ends of requests are written
likewise: ``request`` and ``home`` write one key each, ``group`` puts them
into the segments.

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
FAULT_FROM_S = 2.0
FAULT_S = 1.0
TAKEOVER_S = 3.0
REQUEST_S = 0.5
MS_PER_S = 1000


class LimitedStore:
    """The stand-in store behind its limit of writes.

    :param store: the store.
    """

    def __init__(self, store: standins.Store) -> None:
        self._store = store
        self._free_at = 0.0
        self.cut: set[str] = set()
        self.writes = 0

    async def put(self, origin: str, key: str, value: str) -> bool:
        """Create a key; waits for its turn.

        :param origin: failure domain of the writer.
        :param key: the key.
        :param value: the text.
        :returns: whether it was created.
        :raises TimeoutError: when the store is out of reach.
        """
        if origin in self.cut:
            await trio.sleep(CLAIM_TIMEOUT_S)
            raise TimeoutError(f"{origin} is cut off from the store")
        now = trio.current_time()
        self._free_at = max(self._free_at, now) + 1 / WRITES_PER_S
        self.writes += 1
        await trio.sleep(self._free_at - now + STORE_DELAY_S)
        return self._store.put(key, value, 0) is not None


async def claim_alone(store: LimitedStore, origin: str, key: str) -> bool:
    """Claim a key by a write of its own.

    :param store: the store.
    :param origin: failure domain of the entry VM.
    :param key: the key.
    """
    return await store.put(origin, key, "claim")


def _number(key: str) -> int:
    return int.from_bytes(hashlib.blake2b(key.encode()).digest()[:8])


async def claim_at_home(store: LimitedStore, origin: str, key: str) -> bool:
    """Claim a key by a write from its home failure domain.

    :param store: the store.
    :param origin: failure domain of the entry VM.
    :param key: the key.
    """
    home = DOMAINS[_number(key) % len(DOMAINS)]
    hop_s = PEER_DELAY_S if home != origin else 0.0
    await trio.sleep(hop_s)
    taken = await store.put(home, key, "claim")
    await trio.sleep(hop_s)
    return taken


@dataclasses.dataclass
class _Waiting:
    key: str
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    taken: bool = False


class Shard:
    """One shard of the group commit and its holder.

    :param store: the store.
    :param number: number of the shard.
    """

    def __init__(self, store: LimitedStore, number: int) -> None:
        self._store = store
        self._number = number
        self._segment = 0
        self._known: set[str] = set()
        self._waiting: list[_Waiting] = []
        self._arrived = trio.Event()
        self.holder = DOMAINS[number % len(DOMAINS)]
        self.holder_lost_until = 0.0

    async def claim(self, origin: str, key: str) -> bool:
        """Forward a claim to the holder and wait for its commit.

        :param origin: failure domain of the entry VM.
        :param key: the key.
        """
        hop_s = PEER_DELAY_S if self.holder != origin else 0.0
        await trio.sleep(hop_s)
        waiting = _Waiting(key)
        self._waiting.append(waiting)
        self._arrived.set()
        await waiting.done.wait()
        await trio.sleep(hop_s)
        return waiting.taken

    async def run(self) -> None:
        """Commit what waits, one segment after another."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            lost_s = self.holder_lost_until - trio.current_time()
            if lost_s > 0:
                await trio.sleep(lost_s)
            await self._commit()

    async def _commit(self) -> None:
        batch, self._waiting = self._waiting, []
        fresh = {w.key for w in batch} - self._known
        key = f"shard/{self._number}/{self._segment}"
        try:
            committed = await self._store.put(
                self.holder, key, " ".join(sorted(fresh))
            )
        except TimeoutError:
            committed = False
        if not committed:
            self._waiting = batch + self._waiting
            self._arrived.set()
            return
        self._segment += 1
        self._known |= fresh
        for waiting in batch:
            waiting.taken = waiting.key in fresh
            fresh.discard(waiting.key)
            waiting.done.set()


@dataclasses.dataclass
class Measurements:
    """What a run measured.

    :param latencies_s: latency of each claim that was had.
    :param not_run: claims that were not had in time.
    :param writes: writes at the store.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    not_run: int = 0
    writes: int = 0

    def latency_ms(self, share: float) -> float:
        """Return a percentile of the latency in milliseconds.

        :param share: from 0 to 1.
        """
        ranked = sorted(self.latencies_s) or [float("nan")]
        return ranked[int(share * (len(ranked) - 1))] * MS_PER_S

    @property
    def writes_per_request(self) -> float:
        """Writes at the store per claim that was had."""
        return self.writes / max(1, len(self.latencies_s))


class _Run:
    def __init__(self, way: str, nursery: trio.Nursery) -> None:
        self.store = LimitedStore(standins.Store())
        self.figures = Measurements()
        self.shards = [Shard(self.store, i) for i in range(SHARDS)]
        self._way = way
        self._nursery = nursery
        if way == "group":
            for shard in self.shards:
                nursery.start_soon(shard.run)

    async def claim(self, origin: str, key: str) -> bool:
        if self._way == "request":
            return await claim_alone(self.store, origin, key)
        if self._way == "home":
            return await claim_at_home(self.store, origin, key)
        shard = self.shards[_number(key) % SHARDS]
        return await shard.claim(origin, key)

    async def one(self, origin: str, key: str) -> None:
        begun = trio.current_time()
        taken = False
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            try:
                taken = await self.claim(origin, key)
            except TimeoutError:
                taken = False
        if not taken:
            self.figures.not_run += 1
            return
        self.figures.latencies_s.append(trio.current_time() - begun)
        await trio.sleep(REQUEST_S)
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            await self.claim(origin, f"{key}/end")

    async def fail(self, fault: str) -> None:
        await trio.sleep(FAULT_FROM_S)
        if fault == "cut":
            self.store.cut.add(DOMAINS[0])
            await trio.sleep(FAULT_S)
            self.store.cut.clear()
        elif fault == "holder lost":
            until = trio.current_time() + TAKEOVER_S
            self.shards[0].holder_lost_until = until


async def measure(way: str, rate: float, fault: str) -> Measurements:
    """Run one way at one rate, to be called by ``run_seeded``.

    :param way: request, group or home.
    :param rate: non-idempotent requests a second.
    :param fault: none, cut (one failure domain loses the store for a second)
        or holder lost (one shard has no holder until its lease lapses).
    """
    rng = random.Random(1)
    async with trio.open_nursery() as nursery:
        run = _Run(way, nursery)
        async with trio.open_nursery() as requests:
            requests.start_soon(run.fail, fault)
            number = 0
            while trio.current_time() < RUN_S:
                await trio.sleep(rng.expovariate(rate))
                number += 1
                origin = rng.choice(DOMAINS)
                requests.start_soon(run.one, origin, f"key-{number}")
        nursery.cancel_scope.cancel()
    run.figures.writes = run.store.writes
    return run.figures


def main() -> None:
    """Print the figures of all ways, rates and faults as a table."""
    typer.echo(
        "way      rate/s  fault        writes/req  p50 ms  p99 ms  not run"
    )
    for fault, rates in (
        ("none", (10, 100, 1000, 4000)),
        ("cut", (50,)),
        ("holder lost", (50,)),
    ):
        for rate in rates:
            for way in ("request", "group", "home"):
                typer.echo(_row(way, rate, fault))


def _row(way: str, rate: float, fault: str) -> str:
    figures = cluster.run_seeded(functools.partial(measure, way, rate, fault))
    total = len(figures.latencies_s) + figures.not_run
    return (
        f"{way:8} {rate:6}  {fault:11}  {figures.writes_per_request:10.2f}"
        f"  {figures.latency_ms(0.5):6.1f}  {figures.latency_ms(0.99):6.1f}"
        f"  {figures.not_run / total:7.1%}"
    )


if __name__ == "__main__":
    main()
