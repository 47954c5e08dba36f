"""Draft of the next record of a failure domain."""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import health
from wasabilanding.placement import snapshot as snapshot_module


def _usable_vms(
    snapshot: snapshot_module.DomainSnapshot,
) -> dict[str, model.Vm]:
    return {
        vm.vm: vm
        for vm in snapshot.vms
        if vm.vm in snapshot.reports
        and snapshot.is_alive(vm.vm)
        and not snapshot.is_leaving(vm.vm)
        and not snapshot.is_held_down(vm.vm)
    }


def _variant_inputs(replica: model.ReplicaRecord) -> tuple:
    return replica.epoch, replica.members, replica.spares


class Draft:
    """Replicas, free VMs and next epoch of the record that is planned.

    :param snapshot: state of the failure domain.
    """

    def __init__(self, snapshot: snapshot_module.DomainSnapshot) -> None:
        self._snapshot = snapshot
        self._usable = _usable_vms(snapshot)
        self._next_epoch = snapshot.record.next_epoch
        self.replicas = list(snapshot.record.replicas)

    @property
    def record(self) -> model.DomainRecord:
        """The finished record."""
        return dataclasses.replace(
            self._snapshot.record,
            fence=self._snapshot.fence,
            next_epoch=self._next_epoch,
            replicas=tuple(self.replicas),
        )

    def is_usable(self, vm: str) -> bool:
        """Tell whether a VM may become a member of a replica.

        :param vm: identity of the VM.
        """
        return vm in self._usable

    def free(self, include_spares: bool = False) -> dict[str, list[str]]:
        """Return the usable VMs that no replica holds, by fabric domain.

        :param include_spares: whether VMs recorded as spares count as free.
        """
        taken = {vm for r in self.replicas for vm in r.members}
        if not include_spares:
            taken |= {vm for r in self.replicas for vm in r.spares}
        free: dict[str, list[str]] = collections.defaultdict(list)
        for vm in sorted(self._usable):
            if vm not in taken:
                free[self._usable[vm].fabric_domain].append(vm)
        return free

    def active(self, service: str) -> list[model.ReplicaRecord]:
        """Return the active replicas of a service.

        :param service: name of the service.
        """
        return [
            r
            for r in self.replicas
            if r.service == service and r.state is model.ReplicaState.ACTIVE
        ]

    def is_rolling(
        self, service: str, entry: configuration.ProfileRevision
    ) -> bool:
        """Tell whether a service has outdated or draining replicas.

        :param service: name of the service.
        :param entry: profile revision that the service runs under.
        """
        return any(
            not health.satisfies_revision(replica, entry)
            or replica.state is not model.ReplicaState.ACTIVE
            for replica in self.replicas
            if replica.service == service
        )

    def substitutes(
        self, replica: model.ReplicaRecord, include_foreign_spares: bool = True
    ) -> list[str]:
        """Return the VMs that may replace members of a replica, best first.

        :param replica: the replica.
        :param include_foreign_spares: whether spares of other replicas come
            last in the list.
        """
        spares = self._current(replica).spares
        own = [vm for vm in spares if vm in self._usable]
        fabric = replica.fabric_domain
        free = self.free()[fabric]
        found = own + self._by_weights(free, replica.weights)
        if include_foreign_spares:
            rest = [vm for vm in self.free(True)[fabric] if vm not in found]
            found += self._by_weights(rest, replica.weights)
        return found

    def _by_weights(
        self, vms: list[str], weights: tuple[str, ...]
    ) -> list[str]:
        vm_histories = self._snapshot.history.vms

        def lacks_weights(vm: str) -> bool:
            return (
                vm not in vm_histories or vm_histories[vm].weights != weights
            )

        return sorted(vms, key=lambda vm: (lacks_weights(vm), vm))

    def regroup(
        self,
        replica: model.ReplicaRecord,
        substitutes: collections.abc.Mapping[str, str],
    ) -> None:
        """Give a replica a new epoch and replace some of its members.

        :param replica: the replica.
        :param substitutes: substitute of each member that is replaced.
        """
        members = tuple(substitutes.get(vm, vm) for vm in replica.members)
        self._put(replica, members=members, epoch=self._take_epoch())
        self._withdraw_spares(substitutes.values())

    def _index(self, replica: model.ReplicaRecord) -> int:
        # Looked up by identity, because an earlier step may have changed
        # the replica, for instance by giving its spare to another one.
        names = [r.replica_id for r in self.replicas]
        return names.index(replica.replica_id)

    def _current(self, replica: model.ReplicaRecord) -> model.ReplicaRecord:
        return self.replicas[self._index(replica)]

    def _put(self, replica: model.ReplicaRecord, **changes: object) -> None:
        index = self._index(replica)
        current = self.replicas[index]
        changed = dataclasses.replace(current, **changes)
        if _variant_inputs(changed) != _variant_inputs(current):
            epoch = self._reserve_epochs(changed)
            changed = dataclasses.replace(changed, substitute_epoch=epoch)
        self.replicas[index] = changed

    def _reserve_epochs(self, replica: model.ReplicaRecord) -> int:
        # Two variants of a replica must share a VM, so that only one of them
        # can serve; with a single member they would share none.
        if not replica.spares or len(replica.members) < 2:
            return 0
        epoch = self._next_epoch
        self._next_epoch += len(replica.members)
        return epoch

    def _take_epoch(self) -> int:
        epoch = self._next_epoch
        self._next_epoch += 1
        return epoch

    def adopt_variant(
        self, replica: model.ReplicaRecord, variant: model.ReplicaRecord
    ) -> None:
        """Replace a replica by the variant that its VMs have formed.

        :param replica: the replica.
        :param variant: the variant, one of ``replica.variants``.
        """
        self._put(
            replica, members=variant.members, epoch=variant.epoch, spares=()
        )

    def remove_replica(self, replica: model.ReplicaRecord) -> None:
        """Remove a replica.

        :param replica: the replica.
        """
        del self.replicas[self._index(replica)]

    def drain(self, replica: model.ReplicaRecord) -> None:
        """Drain a replica: it finishes its requests and frees its spares.

        :param replica: the replica.
        """
        state = model.ReplicaState.DRAINING
        self._put(replica, state=state, spares=())

    def set_spares(
        self, replica: model.ReplicaRecord, spares: tuple[str, ...]
    ) -> None:
        """Record the spares of a replica.

        :param replica: the replica.
        :param spares: its spares.
        """
        if self._current(replica).spares != spares:
            self._put(replica, spares=spares)

    def adopt_revision(
        self,
        replica: model.ReplicaRecord,
        entry: configuration.ProfileRevision,
    ) -> None:
        """Record another profile revision for a replica on the same VMs.

        :param replica: a replica that satisfies the revision.
        :param entry: the revision.
        """
        changes = {
            "profile": entry.profile.name,
            "profile_revision": entry.revision,
            "max_running": entry.profile.max_running,
        }
        if any(getattr(replica, k) != v for k, v in changes.items()):
            self._put(replica, **changes)

    def form_replica(
        self,
        service: str,
        entry: configuration.ProfileRevision,
        avoid: str = "",
        take_spares: bool = True,
    ) -> bool:
        """Form a replica from free VMs of one fabric domain.

        :param service: service that it serves.
        :param entry: profile revision that it runs under.
        :param avoid: fabric domain that is not used.
        :param take_spares: whether it may take spares of other replicas.
        :returns: whether a fabric domain had enough VMs.
        """
        for include_spares in (False, True)[: 1 + take_spares]:
            free = self.free(include_spares)
            fabric = self._choose_fabric(service, entry.profile, free, avoid)
            if fabric:
                self._add(service, entry, fabric, free[fabric])
                return True
        return False

    def _choose_fabric(
        self,
        service: str,
        profile: model.ReplicaProfile,
        free: dict[str, list[str]],
        avoid: str,
    ) -> str:
        fitting = {
            fabric: vms
            for fabric, vms in free.items()
            if len(vms) >= profile.vms_per_replica and fabric != avoid
        }
        spreads = profile.downtime_weight >= profile.stranding_weight

        def cost(fabric: str) -> tuple:
            own = sum(
                r.fabric_domain == fabric and r.service == service
                for r in self.replicas
            )
            # Where downtime weighs more, replicas of a service are spread,
            # so that the loss of a fabric domain takes down few of them.
            # Otherwise they are packed into the smallest fabric domain that
            # fits, which keeps larger groups of free VMs together.
            return own if spreads else 0, len(fitting[fabric]), fabric

        return min(fitting, key=cost, default="")

    def _add(
        self,
        service: str,
        entry: configuration.ProfileRevision,
        fabric: str,
        vms: list[str],
    ) -> None:
        profile = entry.profile
        epoch = self._take_epoch()
        weights = (profile.model, profile.version, *profile.adapters)
        ranked = self._by_weights(vms, weights)
        members = tuple(ranked[: profile.vms_per_replica])
        self._withdraw_spares(members)
        self.replicas.append(
            model.ReplicaRecord(
                replica_id=f"{service}-{epoch}",
                epoch=epoch,
                service=service,
                profile=profile.name,
                profile_revision=entry.revision,
                model=profile.model,
                version=profile.version,
                fabric_domain=fabric,
                members=members,
                max_running=profile.max_running,
                adapters=profile.adapters,
            )
        )

    def _withdraw_spares(self, vms: collections.abc.Iterable[str]) -> None:
        taken = set(vms)
        for replica in list(self.replicas):
            kept = tuple(vm for vm in replica.spares if vm not in taken)
            self.set_spares(replica, kept)
