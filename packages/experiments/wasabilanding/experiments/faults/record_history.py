"""History of a run, checked against what must always hold.

Explanation
===========

Every record that the store ever held, and what the engines say of themselves
at short intervals, are compared:

- no record places a VM twice, and no epoch has two sets of members;
- a leader that makes steps does so in a place, with members, that some
  record agreed on; every member says that it is in that place; and no VM is
  a member of two leaders that make steps.
"""

import dataclasses

import trio

from wasabilanding.experiments import cluster as cluster_module
from wasabilanding import model
from wasabilanding import standins

SAMPLE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Violation:
    """Something that must never be, and was.

    :param at: time of the run in seconds.
    :param what: explanation that names the values.
    """

    at: float
    what: str


class RecordHistory:
    """What was seen of one failure domain.

    :param system: the system.
    :param failure_domain: the failure domain.
    """

    def __init__(
        self, system: cluster_module.Cluster, failure_domain: str
    ) -> None:
        self._system = system
        self._domain = failure_domain
        self.records: list[model.DomainRecord] = []
        self.violations: list[Violation] = []
        self._members: dict[model.ReplicaEpoch, tuple[str, ...]] = {}

    async def watch(self) -> None:
        """Sample until cancelled."""
        while True:
            self._read_record()
            self._read_engines()
            await trio.sleep(SAMPLE_S)

    def _note(self, what: str) -> None:
        self.violations.append(Violation(trio.current_time(), what))

    def _read_record(self) -> None:
        stored = self._system.platform.store.get(f"record/{self._domain}")
        if stored is None:
            return
        if self.records and self.records[-1].revision == stored.revision:
            return
        decoded = model.decode(model.DomainRecord, stored.value)
        record = dataclasses.replace(decoded, revision=stored.revision)
        self.records.append(record)
        self._check_record(record)

    def _check_record(self, record: model.DomainRecord) -> None:
        placed = [
            vm for r in record.replicas for vm in (*r.members, *r.spares)
        ]
        if len(placed) != len(set(placed)):
            self._note(f"a VM is placed twice: {record.replicas}")
        for variant in (f for r in record.replicas for f in r.variants):
            known = self._members.setdefault(
                variant.replica_epoch, variant.members
            )
            if known != variant.members:
                self._note(
                    f"{variant.replica_epoch} has {known}, {variant.members}"
                )

    def _read_engines(self) -> None:
        busy: dict[str, str] = {}
        fleet = self._system.fleets[self._domain]
        for engine in fleet.engines.values():
            if not engine.running or not engine.is_whole():
                continue
            self._check_leader(engine)
            for vm in engine.members:
                other = busy.setdefault(vm, engine.vm)
                if other != engine.vm:
                    self._note(f"{vm} serves under {other}, {engine.vm}")

    def _check_leader(self, engine: standins.Engine) -> None:
        replica_epoch = (engine.replica_id, engine.epoch)
        agreed = self._members.get(replica_epoch)
        if agreed != engine.members:
            self._note(
                f"{engine.vm} serves {replica_epoch} with {engine.members}"
            )
