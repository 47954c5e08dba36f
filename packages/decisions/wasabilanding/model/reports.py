"""What is known of a VM: the platform's list and the VM's own reports."""

import dataclasses
import enum

from wasabilanding.model import replicas


class VmState(enum.Enum):
    """State of the engine on a VM, as it reports it.

    A draining engine takes no new request and runs on what it has. A failed
    one could not load what it was ordered to load. A preloaded one holds
    weights but has no place in a replica.
    """

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"
    PRELOADED = "preloaded"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM in the platform's lagging list.

    :param vm: identity of the VM.
    :param address: base URL of its engine.
    :param failure_domain: its failure domain.
    :param fabric_domain: its fabric domain.
    :param accelerators: accelerators that it holds.
    :param leaving: whether the platform has announced its end.
    """

    vm: str
    address: str
    failure_domain: str
    fabric_domain: str
    accelerators: int = 8
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class VmReport:
    """A VM's own report, stamped with the local time of its observation.

    :param vm: identity of the VM.
    :param state: state of its engine.
    :param replica_id: replica that it belongs to, empty for none.
    :param epoch: epoch of that replica.
    :param running: requests that it runs.
    :param queued: requests that wait for it.
    :param leaving: whether the VM has announced its end.
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
    def replica_epoch(self) -> replicas.ReplicaEpoch:
        """Replica and epoch that it reports."""
        return self.replica_id, self.epoch
