"""VMs as listed by the platform and as reported by themselves."""

import dataclasses
import enum

from wasabilanding.model import replicas


class VmState(enum.Enum):
    """State of the engine on a VM, as reported by the VM.

    A draining engine accepts no new requests and finishes those that it has.
    A failed engine could not load what it was ordered to load. A preloaded
    engine has weights loaded but belongs to no replica.
    """

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"
    PRELOADED = "preloaded"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM in the platform's list, which may be out of date.

    :param vm: identity of the VM.
    :param address: base URL of its engine.
    :param failure_domain: its failure domain.
    :param fabric_domain: its fabric domain.
    :param accelerators: number of its accelerators.
    :param leaving: whether the platform has announced its termination.
    """

    vm: str
    address: str
    failure_domain: str
    fabric_domain: str
    accelerators: int = 8
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class VmReport:
    """A VM's own report, with the local time at which it was observed.

    :param vm: identity of the VM.
    :param state: state of its engine.
    :param replica_id: identity of its replica, empty for none.
    :param epoch: epoch of that replica.
    :param running: number of requests that it runs.
    :param queued: number of requests that wait for it.
    :param leaving: whether the VM has announced its termination.
    :param observed_at: local monotonic time in seconds.
    """

    vm: str
    state: VmState
    replica_id: str = ""
    epoch: int = 0
    running: int = 0
    queued: int = 0
    leaving: bool = False
    observed_at: float = 0.0

    @property
    def replica_key(self) -> replicas.ReplicaKey:
        """Identity and epoch of the replica that it reports."""
        return self.replica_id, self.epoch
