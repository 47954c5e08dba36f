"""The record under construction."""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding.placement import evidence
from wasabilanding.placement import situation as situation_module


def _usable_vms(
    situation: situation_module.Situation,
) -> dict[str, model.Vm]:
    return {
        vm.vm: vm
        for vm in situation.vms
        if vm.vm in situation.reports
        and situation.is_alive(vm.vm)
        and not situation.is_leaving(vm.vm)
        and not situation.is_held_down(vm.vm)
    }


def _group(replica: model.ReplicaRecord) -> tuple:
    return replica.epoch, replica.members, replica.spares


class Draft:
    """Replicas, free VMs and next epoch of the record under construction.

    :param situation: what the holder of control knows.
    """

    def __init__(self, situation: situation_module.Situation) -> None:
        self._situation = situation
        self._usable = _usable_vms(situation)
        self._next_epoch = situation.record.next_epoch
        self.replicas = list(situation.record.replicas)

    @property
    def record(self) -> model.DomainRecord:
        """The finished record."""
        return dataclasses.replace(
            self._situation.record,
            fence=self._situation.fence,
            next_epoch=self._next_epoch,
            replicas=tuple(self.replicas),
        )

    def is_usable(self, vm: str) -> bool:
        """Tell whether a VM may take a place in a replica.

        :param vm: identity of the VM.
        """
        return vm in self._usable

    def free(self, spares_too: bool = False) -> dict[str, list[str]]:
        """Return the usable VMs without a place, by fabric domain.

        :param spares_too: whether VMs recorded as spares count as free.
        """
        taken = {vm for r in self.replicas for vm in r.members}
        if not spares_too:
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
        """Tell whether a service has replicas that are to be superseded.

        :param service: name of the service.
        :param entry: profile that it is to run under.
        """
        return any(
            not evidence.has_content(replica, entry)
            or replica.state is not model.ReplicaState.ACTIVE
            for replica in self.replicas
            if replica.service == service
        )

    def substitutes(
        self, replica: model.ReplicaRecord, others: bool = True
    ) -> list[str]:
        """Return the VMs that may replace members of a replica, best first.

        :param replica: the replica.
        :param others: whether spares of other replicas count, as the last.
        """
        spares = self._current(replica).spares
        own = [vm for vm in spares if vm in self._usable]
        fabric = replica.fabric_domain
        free = self.free()[fabric]
        found = own + self._by_weights(free, replica.weights)
        if others:
            rest = [vm for vm in self.free(True)[fabric] if vm not in found]
            found += self._by_weights(rest, replica.weights)
        return found

    def _by_weights(
        self, vms: list[str], weights: tuple[str, ...]
    ) -> list[str]:
        tracks = self._situation.history.vms

        def lacks_weights(vm: str) -> bool:
            return vm not in tracks or tracks[vm].weights != weights

        return sorted(vms, key=lambda vm: (lacks_weights(vm), vm))

    def regroup(
        self,
        replica: model.ReplicaRecord,
        swap: collections.abc.Mapping[str, str],
    ) -> None:
        """Give a replica a new epoch and replace members.

        :param replica: the replica.
        :param swap: substitute of each member that is replaced.
        """
        members = tuple(swap.get(vm, vm) for vm in replica.members)
        self._put(replica, members=members, epoch=self._take_epoch())
        self._withdraw_spares(swap.values())

    def _index(self, replica: model.ReplicaRecord) -> int:
        # By identity: an earlier step may have changed the replica, as when
        # another one took its spare.
        names = [r.replica_id for r in self.replicas]
        return names.index(replica.replica_id)

    def _current(self, replica: model.ReplicaRecord) -> model.ReplicaRecord:
        return self.replicas[self._index(replica)]

    def _put(self, replica: model.ReplicaRecord, **changes: object) -> None:
        index = self._index(replica)
        standing = self.replicas[index]
        changed = dataclasses.replace(standing, **changes)
        if _group(changed) != _group(standing):
            epoch = self._reserve_epochs(changed)
            changed = dataclasses.replace(changed, substitute_epoch=epoch)
        self.replicas[index] = changed

    def _reserve_epochs(self, replica: model.ReplicaRecord) -> int:
        # With a single member two forms would share no VM.
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
        """Record the form that a replica has taken as the replica.

        :param replica: the replica.
        :param variant: one of its forms.
        """
        self._put(
            replica, members=variant.members, epoch=variant.epoch, spares=()
        )

    def dissolve(self, replica: model.ReplicaRecord) -> None:
        """Remove a replica.

        :param replica: the replica.
        """
        del self.replicas[self._index(replica)]

    def drain(self, replica: model.ReplicaRecord) -> None:
        """Let a replica finish what it runs; its spares become free.

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

    def adopt(
        self,
        replica: model.ReplicaRecord,
        entry: configuration.ProfileRevision,
    ) -> None:
        """Run a replica under another revision without touching its VMs.

        :param replica: a replica that has all that the revision asks for.
        :param entry: the revision.
        """
        changes = {
            "profile": entry.profile.name,
            "profile_revision": entry.revision,
            "max_running": entry.profile.max_running,
        }
        if any(getattr(replica, k) != v for k, v in changes.items()):
            self._put(replica, **changes)

    def form(
        self,
        service: str,
        entry: configuration.ProfileRevision,
        avoid: str = "",
        take_spares: bool = True,
    ) -> bool:
        """Form one replica.

        :param service: service that it serves.
        :param entry: profile that it runs under.
        :param avoid: fabric domain that is out of the question.
        :param take_spares: whether it may take recorded spares.
        :returns: whether some fabric domain holds it.
        """
        for spares_too in (False, True)[: 1 + take_spares]:
            free = self.free(spares_too)
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
            # Where downtime weighs more, one dark fabric domain is to take
            # as few replicas of a service as can be; elsewhere replicas are
            # packed, which leaves the larger rooms whole.
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
