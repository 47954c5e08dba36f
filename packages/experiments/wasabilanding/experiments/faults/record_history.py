"""History of a run, checked against the invariants of placement.

Explanation
===========

Checks every record in the store, and the state of the engines at short
intervals:

- no record assigns a VM twice, and no epoch has two sets of members;
- a leader that runs requests does so for a replica epoch, and with members,
  that some record contains; every member reports that replica epoch; and no
  VM is a member under two leaders that run requests.
"""

import dataclasses

import trio

from wasabilanding.experiments import cluster as cluster_module
from wasabilanding import model
from wasabilanding import standins

SAMPLE_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violation of an invariant.

    :param at: time since the start of the run, in seconds.
    :param detail: explanation that names the values.
    """

    at: float
    detail: str


class RecordHistory:
    """Records and violations of one failure domain.

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
        self._members: dict[model.ReplicaKey, tuple[str, ...]] = {}

    async def watch(self) -> None:
        """Sample records and engines until cancelled."""
        while True:
            self._read_record()
            self._read_engines()
            await trio.sleep(SAMPLE_INTERVAL_S)

    def _add_violation(self, detail: str) -> None:
        self.violations.append(Violation(trio.current_time(), detail))

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
            self._add_violation(f"a VM is assigned twice: {record.replicas}")
        for variant in (f for r in record.replicas for f in r.variants):
            known = self._members.setdefault(
                variant.replica_key, variant.members
            )
            if known != variant.members:
                self._add_violation(
                    f"{variant.replica_key} has members {known} and "
                    f"{variant.members}"
                )

    def _read_engines(self) -> None:
        leader_by_vm: dict[str, str] = {}
        fleet = self._system.fleets[self._domain]
        for engine in fleet.engines.values():
            if not engine.running or not engine.is_whole():
                continue
            self._check_leader(engine)
            for vm in engine.members:
                other = leader_by_vm.setdefault(vm, engine.vm)
                if other != engine.vm:
                    self._add_violation(
                        f"{vm} serves under leaders {other} and {engine.vm}"
                    )

    def _check_leader(self, engine: standins.Engine) -> None:
        replica_key = (engine.replica_id, engine.epoch)
        recorded_members = self._members.get(replica_key)
        if recorded_members != engine.members:
            self._add_violation(
                f"{engine.vm} serves {replica_key} with {engine.members}, "
                "which no record contains"
            )
