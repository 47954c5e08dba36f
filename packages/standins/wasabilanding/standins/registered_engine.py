"""Engines that register themselves, join replicas by order and serve streams.

Explanation
===========

One :class:`Fabric` holds the engines of a failure domain. A replica makes
progress while all its members are alive and still belong to it. When a member
is lost, the head still accepts requests but makes no progress; after
``stall_s`` it enters the state ``BROKEN``. A stalled engine stays registered
and makes no progress, nor does its replica. Loads share the capacity of the
weight store. All times are on trio's clock.
"""

import collections.abc
import dataclasses
import enum

import trio

from wasabilanding import fleet
from wasabilanding.standins import cold_phase

STATES = fleet.MemberState
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_PRECONDITION_FAILED = 412
CHECK_INTERVAL_S = 0.05
# A request whose path contains this ends each engine that runs it.
CRASH_MARKER = "/crash"
# A request with such a part, other than its last one, ends each engine that
# begins to write its answer.
CRASH_PART_PREFIX = "dead"


@dataclasses.dataclass(frozen=True)
class RegisteredSettings:
    """Capacity and timing of the engines of a fabric.

    :param slots: requests that a replica or plain endpoint runs concurrently.
    :param queue: further requests that a plain endpoint queues.
    :param event_s: seconds between events of a stream.
    :param work_s: seconds that a plain request takes.
    :param rejoin_s: seconds of a join whose model is still in memory.
    :param warm_s: seconds of a join whose model is staged on the host.
    :param load_s: seconds of a load from the weight store.
    :param loads_at_once: concurrent loads that the weight store serves.
    :param form_s: seconds from an order to open until a head serves.
    :param stall_s: seconds that an open replica tolerates a missing member
        before it is broken.
    :param drain_s: minimum seconds that an engine serves after it has
        announced its shutdown.
    :param crash_after_s: seconds after which a request whose path contains
        :data:`CRASH_MARKER`, or an answer on a part whose identity begins
        with :data:`CRASH_PART_PREFIX`, ends the engine.
    :param restart_after_s: seconds until such an engine starts again.
    :param cold_s: seconds for which an engine is cold after it has started
        again.
    :param cold_per_s: requests a second that a cold engine takes; 0 if it
        takes any number.
    :param cold_overshoot: multiple of that number above which it ends.
    :param cold_slack: requests beyond that in one second above which it ends.
    :param refused_share: share of its requests that a plain endpoint refuses.
    """

    slots: int = 4
    queue: int = 0
    event_s: float = 0.02
    work_s: float = 0.05
    rejoin_s: float = 0.1
    warm_s: float = 0.3
    load_s: float = 1.0
    loads_at_once: int = 4
    form_s: float = 0.1
    stall_s: float = 4.0
    drain_s: float = 2.0
    crash_after_s: float = 0.1
    restart_after_s: float = 1.5
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    refused_share: float = 0.0


class RunEnd(enum.StrEnum):
    """How a run ended.

    CANCELLED means that the gateway closed the connection; BROKE_OFF that
    the engine stopped or left its replica.
    """

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"
    BROKE_OFF = "broke off"


@dataclasses.dataclass(frozen=True)
class RunEntry:
    """A request that an engine began to run.

    :param request_id: request ID from the caller.
    :param endpoint: ID of the engine.
    :param life: start count of the engine, from 1.
    :param path: path and query.
    :param customer: customer as sent by the entry VM.
    :param body: request body.
    :param whole: whether every member had been ready in this replica and
        epoch; true for a plain endpoint.
    :param begun_at: time of day in seconds at which it began.
    :param end: how it ended.
    :param parts: header with the parts of its prompt; empty for none.
    """

    request_id: str
    endpoint: str
    life: int
    path: str
    customer: str
    body: str
    whole: bool
    begun_at: float = 0.0
    end: RunEnd = RunEnd.RUNNING
    parts: str = ""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request, order or request for a report that reached an engine.

    :param request_id: request ID from the caller; empty for the others.
    :param endpoint: ID of the engine.
    :param life: start count of the engine, from 1.
    :param at: time in seconds on trio's clock.
    :param is_leaving: whether the reply announces the engine's shutdown.
    :param retry_after: value of that header of the reply; empty for none.
    :param limit: requests a second that the reply names; empty for none.
    """

    request_id: str
    endpoint: str
    life: int
    at: float
    is_leaving: bool
    retry_after: str
    limit: str


def ends_engine(parts: str) -> bool:
    """Return whether the parts of a prompt end the engine that writes on it.

    :param parts: header with the parts, such as "a1:40,dead01:300,b2:10".
    """
    return any(
        part.strip().startswith(CRASH_PART_PREFIX)
        for part in parts.split(",")[:-1]
    )


class Engine:
    """One engine of a fabric.

    :param endpoint_id: ID of the engine.
    :param service: service that it belongs to.
    :param fabric_domain: fabric domain; empty for a plain endpoint.
    :param fabric: fabric with the engines that it may join.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        fabric_domain: str,
        fabric: "Fabric",
    ) -> None:
        self._fabric = fabric
        self.endpoint_id = endpoint_id
        self.service = service
        self.fabric_domain = fabric_domain
        self.life = 1
        self.alive = True
        self.paused = False
        self.stalled = False
        self._reset_notices()
        self.in_flight = 0
        # Slots of a plain endpoint.
        self.free_slots = trio.Semaphore(fabric.settings.slots)
        self.changed = trio.Event()
        self.staged = ""
        settings = fabric.settings
        self.cold = cold_phase.ColdPhase(
            settings.cold_per_s, settings.cold_overshoot, settings.cold_slack
        )
        self._reset()

    def _reset(self) -> None:
        self.membership: fleet.Membership | None = None
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.resident = ""
        self._highest_epoch = 0

    def _reset_notices(self) -> None:
        # Whether its registration says that it leaves.
        self.draining = False
        # Whether its replies say that it leaves.
        self.announces_leaving = False
        # It refuses everything with this Retry-After header; empty for not.
        self.retry_after = ""
        # The limit that its replies name; empty for none.
        self.limit = ""

    def notify(self) -> None:
        """Wake the tasks that wait for a change of this engine."""
        self.changed.set()
        self.changed = trio.Event()

    def kill(self) -> None:
        """Stop the engine at once and clear its membership."""
        self.alive = False
        self._reset()
        self.notify()

    def restart(self) -> None:
        """Start again with the same ID; staged weights are kept."""
        self.cold.begin(trio.current_time(), self._fabric.settings.cold_s)
        self.life += 1
        self.alive = True
        self.paused = False
        self.stalled = False
        self._reset_notices()
        self.in_flight = 0
        self._reset()
        self.notify()

    def registration(self, host: str, port: int) -> fleet.Endpoint:
        """Return the registration of the engine.

        :param host: address of its listener.
        :param port: port of its listener.
        """
        return fleet.Endpoint(
            endpoint_id=self.endpoint_id,
            service=self.service,
            host=host,
            port=port,
            failure_domain=self._fabric.failure_domain,
            draining=self.draining,
            slots=self._fabric.settings.slots,
            started_at_ms=self.life,
            fabric_domain=self.fabric_domain,
            model=self.model,
            staged=(self.staged,) if self.staged else (),
            membership=self.membership,
            cold_left_s=self.cold.left_s(trio.current_time()),
        )

    @property
    def replica_key(self) -> fleet.ReplicaKey | None:
        """Replica and epoch that it belongs to, or None."""
        return self.membership.replica_key if self.membership else None

    @property
    def accepts_requests(self) -> bool:
        """Whether it is a plain endpoint or the head of an open replica."""
        if not self.fabric_domain:
            return True
        return (
            self.membership is not None
            and self.membership.rank == 0
            and self.membership.state is STATES.OPEN
        )

    @property
    def can_run(self) -> bool:
        """Whether it is alive, not paused or stalled, and so its members."""
        if not self.alive or self.paused or self.stalled:
            return False
        if not self.fabric_domain:
            return True
        return self._fabric.is_whole(self) and self._fabric.is_moving(self)

    def join(
        self, replica: str, epoch: int, model: str, members: tuple[str, ...]
    ) -> int:
        """Execute an order to join a replica.

        :param replica: replica ID.
        :param epoch: epoch of the replica.
        :param model: model of the replica.
        :param members: endpoint IDs of its members, the head first.
        :returns: HTTP status.
        """
        if self.endpoint_id not in members:
            return HTTP_BAD_REQUEST
        replica_key = replica, epoch
        if replica_key == self.replica_key:
            same = members == self.members
            return HTTP_OK if same else HTTP_PRECONDITION_FAILED
        if epoch < self._highest_epoch:
            return HTTP_PRECONDITION_FAILED
        self._fabric.check_join(self)
        previous_model = self.model or self.resident
        self._highest_epoch = epoch
        self.members = members
        self.model = ""
        rank = members.index(self.endpoint_id)
        self.membership = fleet.Membership(
            replica, epoch, rank, STATES.JOINING
        )
        self.notify()
        self._fabric.start(
            self._load_model, replica_key, model, previous_model
        )
        return HTTP_ACCEPTED

    async def _load_model(
        self, replica_key: fleet.ReplicaKey, model: str, previous_model: str
    ) -> None:
        settings = self._fabric.settings
        if model == previous_model:
            await trio.sleep(settings.rejoin_s)
        elif model == self.staged:
            await trio.sleep(settings.warm_s)
        else:
            await self._fabric.load()
            self.staged = model
        if self.replica_key == replica_key and self.alive:
            self.model = model
            self.resident = model
            self._set_state(STATES.READY)
            self._fabric.record_ready(self)

    def _set_state(self, state: fleet.MemberState) -> None:
        self.membership = dataclasses.replace(self.membership, state=state)
        self.notify()

    def open(self, replica: str, epoch: int) -> int:
        """Execute an order to serve requests.

        :param replica: replica ID.
        :param epoch: epoch of the replica.
        :returns: HTTP status.
        """
        if self.replica_key != (replica, epoch) or self.membership.rank:
            return HTTP_CONFLICT
        if self.membership.state is STATES.OPEN:
            return HTTP_OK
        if self.membership.state is not STATES.READY:
            return HTTP_CONFLICT
        self._fabric.start(self._open_later, self.replica_key)
        return HTTP_ACCEPTED

    async def _open_later(self, replica_key: fleet.ReplicaKey) -> None:
        await trio.sleep(self._fabric.settings.form_s)
        if (
            self.replica_key == replica_key
            and self.membership.state is STATES.READY
        ):
            self._set_state(STATES.OPEN)
            self._fabric.start(self._break_when_stalled, replica_key)

    async def _break_when_stalled(self, replica_key: fleet.ReplicaKey) -> None:
        """Enter BROKEN after ``stall_s`` without one of the members."""
        last_progress_at = trio.current_time()
        serving = (STATES.OPEN, STATES.CLOSING)
        while (
            self.replica_key == replica_key
            and self.membership.state in serving
        ):
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            if self._fabric.is_whole(self):
                last_progress_at = now
            elif now - last_progress_at > self._fabric.settings.stall_s:
                if self.replica_key == replica_key:
                    self._set_state(STATES.BROKEN)
                return

    def close(self, replica: str, epoch: int, at_once: bool) -> int:
        """Execute an order to stop serving.

        :param replica: replica ID.
        :param epoch: epoch of the replica.
        :param at_once: whether to close without waiting for running requests.
        :returns: HTTP status.
        """
        if self.replica_key != (replica, epoch):
            return HTTP_CONFLICT
        if self.membership.state is not STATES.OPEN:
            return HTTP_OK
        self._set_state(STATES.READY if at_once else STATES.CLOSING)
        if not at_once:
            self._fabric.start(self._close_later, self.replica_key)
        return HTTP_ACCEPTED

    async def _close_later(self, replica_key: fleet.ReplicaKey) -> None:
        while self.in_flight and self.replica_key == replica_key:
            await trio.sleep(CHECK_INTERVAL_S)
        if (
            self.replica_key == replica_key
            and self.membership.state is STATES.CLOSING
        ):
            self._set_state(STATES.READY)

    def leave(self, replica: str, epoch: int) -> int:
        """Execute an order to leave a replica.

        :param replica: replica ID.
        :param epoch: epoch of the replica.
        :returns: HTTP status.
        """
        if self.replica_key != (replica, epoch):
            return HTTP_CONFLICT
        self.resident = self.model
        self.model = ""
        self.membership = None
        self.members = ()
        self.notify()
        return HTTP_OK

    def stage(self, model: str) -> int:
        """Execute an order to stage weights on the host.

        :param model: model whose weights to stage.
        :returns: HTTP status.
        """
        if model == self.staged:
            return HTTP_OK
        self._fabric.start(self._stage_later, model)
        return HTTP_ACCEPTED

    async def _stage_later(self, model: str) -> None:
        await self._fabric.load()
        self.staged = model
        self.notify()


class Fabric:
    """The engines of one failure domain.

    :param failure_domain: name of the failure domain.
    :param settings: capacity and timing of the engines.
    :param nursery: runs the background tasks of the engines.
    """

    def __init__(
        self,
        failure_domain: str,
        settings: RegisteredSettings,
        nursery: trio.Nursery,
    ) -> None:
        self._nursery = nursery
        self._loads = trio.CapacityLimiter(settings.loads_at_once)
        self._ready_members: dict[fleet.ReplicaKey, set[tuple[str, int]]] = {}
        self.failure_domain = failure_domain
        self.settings = settings
        self.engines: dict[str, Engine] = {}
        self.runs: list[RunEntry] = []
        self.arrivals: list[Arrival] = []
        self.violations: list[str] = []

    def add(self, endpoint_id: str, service: str, domain: str) -> Engine:
        """Add an engine.

        :param endpoint_id: ID of the engine.
        :param service: service that it belongs to.
        :param domain: fabric domain; empty for a plain endpoint.
        """
        engine = Engine(endpoint_id, service, domain, self)
        self.engines[endpoint_id] = engine
        return engine

    def begin_run(self, entry: RunEntry) -> int:
        """Record a run that begins and return its number.

        :param entry: the run.
        """
        self.runs.append(entry)
        return len(self.runs) - 1

    def end_run(self, number: int, end: RunEnd) -> None:
        """Record how a run ended.

        :param number: number of the run.
        :param end: how it ended.
        """
        self.runs[number] = dataclasses.replace(self.runs[number], end=end)

    def start(
        self,
        action: collections.abc.Callable[..., collections.abc.Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Run a function in a background task.

        :param action: async function.
        :param arguments: its positional arguments.
        """
        self._nursery.start_soon(action, *arguments)

    async def load(self) -> None:
        """Load weights; loads beyond ``loads_at_once`` are queued."""
        async with self._loads:
            await trio.sleep(self.settings.load_s)

    def _members(self, engine: Engine) -> list[Engine]:
        return [self.engines[name] for name in engine.members]

    def is_whole(self, engine: Engine) -> bool:
        """Return whether all members of a replica are alive and belong to it.

        :param engine: an engine of the replica.
        """
        return all(
            member.alive
            and not member.paused
            and member.replica_key == engine.replica_key
            for member in self._members(engine)
        )

    def is_moving(self, engine: Engine) -> bool:
        """Return whether no member of a replica is stalled.

        :param engine: an engine of the replica.
        """
        return not any(member.stalled for member in self._members(engine))

    def record_arrival(self, engine: Engine, request_id: str) -> None:
        """Record that a request, order or request for a report arrived.

        :param engine: the engine.
        :param request_id: request ID from the caller; empty for the others.
        """
        self.arrivals.append(
            Arrival(
                request_id,
                engine.endpoint_id,
                engine.life,
                trio.current_time(),
                engine.announces_leaving,
                engine.retry_after,
                engine.limit,
            )
        )

    def record_ready(self, engine: Engine) -> None:
        """Record that a member became ready in its replica and epoch.

        :param engine: the member.
        """
        ready = self._ready_members.setdefault(engine.replica_key, set())
        ready.add((engine.endpoint_id, engine.life))

    def had_all_members_ready(self, head: Engine) -> bool:
        """Return whether every member has been ready in the head's replica.

        :param head: head of the replica.
        """
        ready = self._ready_members.get(head.replica_key, set())
        return {name for name, _ in ready} >= set(head.members)

    def check_join(self, engine: Engine) -> None:
        """Record a violation if an engine leaves a replica that is serving.

        :param engine: the engine, before it joins another replica.
        """
        if engine.replica_key is None or not engine.members:
            return
        head = self.engines[engine.members[0]]
        serving = (STATES.OPEN, STATES.CLOSING)
        if not head.alive or head.replica_key != engine.replica_key:
            return
        if head.membership.state in serving:
            self.violations.append(
                f"{engine.endpoint_id} leaves {engine.replica_key} for "
                f"another replica while {head.endpoint_id} serves it"
            )
