"""Validated document that describes an experiment."""

import collections.abc
import dataclasses
import pathlib
import typing

import pydantic

from wasabilanding import model
from wasabilanding.model import codec
from wasabilanding import standins

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=10_000)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]
TimeOffset = typing.Annotated[float, pydantic.Field(ge=0, le=86_400)]
Rate = typing.Annotated[float, pydantic.Field(ge=0, le=100_000)]
Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Priority = typing.Annotated[int, pydantic.Field(ge=0, le=9)]

VM_FAULTS = frozenset(("kill_vm", "restart_vm", "pause_vm", "resume_vm"))
SLOW_FAULTS = frozenset(("slow_vm",))
NODE_FAULTS = frozenset(("kill_node", "start_node", "drain_node"))
PLATFORM_FAULTS = frozenset(("platform_down", "platform_up", "platform_slow"))
LINK_FAULTS = frozenset(("cut", "heal"))
DIRECT_FAULTS = VM_FAULTS | SLOW_FAULTS
FaultKind = typing.Literal[
    "kill_vm",
    "restart_vm",
    "pause_vm",
    "resume_vm",
    "slow_vm",
    "silence_vm",
    "kill_node",
    "start_node",
    "drain_node",
    "platform_down",
    "platform_up",
    "platform_slow",
    "cut",
    "heal",
]


@dataclasses.dataclass(frozen=True)
class System:
    """Size and engines of the system.

    :param mode: direct or whole.
    :param failure_domains: names of the failure domains.
    :param nodes_per_domain: entry VMs in each failure domain.
    :param fabrics_per_domain: fabric domains in each failure domain.
    :param vms_per_fabric: VMs in each fabric domain.
    :param vms_per_replica: VMs in each replica.
    :param replicas_per_domain: desired replicas in each failure domain.
    :param observation_interval_s: time between reports in seconds.
    :param engine: settings of the stand-in engines.
    """

    __pydantic_config__ = codec.STRICT

    mode: typing.Literal["direct", "whole"] = "direct"
    failure_domains: typing.Annotated[
        tuple[Name, ...], pydantic.Field(min_length=1)
    ] = ("prov", "nunoa", "maipu")
    nodes_per_domain: Count = 1
    fabrics_per_domain: Count = 2
    vms_per_fabric: Count = 2
    vms_per_replica: Count = 2
    replicas_per_domain: Count = 2
    observation_interval_s: Seconds = 0.7
    engine: standins.EngineSettings = standins.EngineSettings()

    def __post_init__(self) -> None:
        """Reject replicas that exceed the capacity.

        :raises ValueError: if the replicas do not fit on the VMs.
        """
        per_fabric = self.vms_per_fabric // self.vms_per_replica
        capacity = per_fabric * self.fabrics_per_domain
        if self.replicas_per_domain > capacity:
            raise ValueError(
                f"replicas_per_domain: {self.replicas_per_domain} replicas "
                f"of {self.vms_per_replica} VMs do not fit, {capacity} do"
            )


@dataclasses.dataclass(frozen=True)
class CustomerLoad:
    """Load from one customer.

    :param name: name of the customer.
    :param rate_per_s: mean rate of the Poisson arrivals per second.
    :param weight: fair-share weight relative to the other customers.
    :param max_in_flight: limit of requests in flight per entry VM; 0 for no
        limit.
    :param from_s: start of the load in seconds.
    :param until_s: end of the load in seconds; 0 for the end of the run.
    """

    __pydantic_config__ = codec.STRICT

    name: Name
    rate_per_s: Rate
    weight: typing.Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    max_in_flight: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    from_s: TimeOffset = 0.0
    until_s: TimeOffset = 0.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Load from all customers.

    :param customers: load from each customer.
    :param prefix_groups: number of groups of prompts that share a prefix; 0
        for no shared prefixes.
    :param prefix_skew: exponent of the Zipf distribution over groups.
    :param prefix_tokens: length of the shared prefix.
    :param prompt_tokens: mean length of the prompt after the prefix,
        exponentially distributed.
    :param answer_tokens: mean length of an answer, exponentially
        distributed.
    :param max_answer_tokens: maximum length of an answer.
    :param deadline_s: deadline of each request in seconds after its arrival.
    :param priorities: priorities from which each request draws one.
    :param non_idempotent: share of requests that must run at most once.
    """

    __pydantic_config__ = codec.STRICT

    customers: typing.Annotated[
        tuple[CustomerLoad, ...], pydantic.Field(min_length=1)
    ]
    prefix_groups: typing.Annotated[int, pydantic.Field(ge=0, le=10_000)] = 0
    prefix_skew: typing.Annotated[float, pydantic.Field(ge=0, le=4)] = 1.0
    prefix_tokens: Count = 1024
    prompt_tokens: Count = 128
    answer_tokens: Count = 64
    max_answer_tokens: Count = 512
    deadline_s: Seconds = 30.0
    priorities: typing.Annotated[
        tuple[Priority, ...], pydantic.Field(min_length=1)
    ] = (5,)
    non_idempotent: Share = 0.0

    def __post_init__(self) -> None:
        """Reject duplicate customers.

        :raises ValueError: if two customers have the same name.
        """
        names = [customer.name for customer in self.customers]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(f"customers: {duplicates[0]!r} is listed twice")


@dataclasses.dataclass(frozen=True)
class Policies:
    """Names of the policies.

    :param routing: policy that selects replicas.
    :param admission: ``fair`` for fair queueing by customer; ``none`` to
        admit all requests.
    """

    __pydantic_config__ = codec.STRICT

    routing: typing.Literal[
        "cost", "least_loaded", "random", "two_choices"
    ] = "cost"
    admission: typing.Literal["fair", "none"] = "fair"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault on the timeline.

    :param at_s: time of the fault in seconds.
    :param kind: type of the fault or recovery.
    :param target: affected VM, node or failure domain; ``platform`` for the
        platform. One end of the link for ``cut`` and ``heal``.
    :param other: other end of the link for ``cut`` and ``heal``.
    :param amount: slowdown factor of ``slow_vm``; delay of
        ``platform_slow`` in seconds.
    """

    __pydantic_config__ = codec.STRICT

    at_s: TimeOffset
    kind: FaultKind
    target: str = ""
    other: str = ""
    amount: typing.Annotated[float, pydantic.Field(gt=0, le=3600)] = 1.0


@dataclasses.dataclass(frozen=True)
class Experiment:
    """An experiment.

    :param name: name of the experiment.
    :param load: load from all customers.
    :param system: size and engines of the system.
    :param policies: names of the policies.
    :param faults: faults on the timeline.
    :param seed: seed of all random choices.
    :param duration_s: time in which requests arrive, in seconds.
    :param warmup_s: initial time whose requests are not counted, in seconds.
    """

    __pydantic_config__ = codec.STRICT

    name: Name
    load: Load
    system: System = System()
    policies: Policies = Policies()
    faults: tuple[Fault, ...] = ()
    seed: int = 1
    duration_s: Seconds = 60.0
    warmup_s: TimeOffset = 5.0

    def __post_init__(self) -> None:
        """Reject inconsistent times and faults.

        :raises ValueError: if times or faults are inconsistent.
        """
        if self.warmup_s >= self.duration_s:
            raise ValueError(
                f"warmup_s: {self.warmup_s} is not less than duration_s, "
                f"{self.duration_s}"
            )
        for index, fault in enumerate(self.faults):
            self._check_fault(f"faults.{index}", fault)

    def _check_fault(self, path: str, fault: Fault) -> None:
        if self.system.mode == "direct" and fault.kind not in DIRECT_FAULTS:
            raise ValueError(
                f"{path}.kind: {fault.kind!r} needs system.mode 'whole'"
            )
        if fault.at_s > self.duration_s:
            raise ValueError(
                f"{path}.at_s: {fault.at_s} is after the end of the run, "
                f"{self.duration_s}"
            )
        for field, allowed in self._allowed(fault.kind).items():
            value = getattr(fault, field)
            if value not in allowed:
                raise ValueError(
                    f"{path}.{field}: {value!r} is none of "
                    f"{', '.join(sorted(allowed)) or 'nothing'}"
                )

    def _allowed(
        self, kind: str
    ) -> dict[str, collections.abc.Collection[str]]:
        if kind in PLATFORM_FAULTS:
            return {"target": ("", "platform")}
        if kind in LINK_FAULTS:
            ends = (*self.system.failure_domains, "platform")
            return {"target": ends, "other": ends}
        if kind in NODE_FAULTS:
            return {"target": node_names(self.system)}
        return {"target": vm_names(self.system)}


def node_names(system: System) -> tuple[str, ...]:
    """Return the names of all entry VMs.

    :param system: size of the system.
    """
    return tuple(
        f"{domain}-node-{index}"
        for domain in system.failure_domains
        for index in range(system.nodes_per_domain)
    )


def vm_names(system: System) -> tuple[str, ...]:
    """Return the names of all endpoint VMs.

    :param system: size of the system.
    """
    return tuple(
        f"{domain}-{fabric}-{index}"
        for domain in system.failure_domains
        for fabric in range(system.fabrics_per_domain)
        for index in range(system.vms_per_fabric)
    )


def load_experiment(path: pathlib.Path) -> Experiment:
    """Read and validate an experiment.

    :param path: JSON file.
    :raises OSError: if the file can't be read.
    :raises wasabilanding.model.InvalidDocument: if the document is invalid.
    """
    return model.decode(Experiment, path.read_bytes())
