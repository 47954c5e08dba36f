"""Profiles, in which operators define how a service is provided."""

import dataclasses
import typing

import pydantic

from wasabilanding.model import codec

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=10_000)]
Weight = typing.Annotated[float, pydantic.Field(ge=0, le=1000)]


@dataclasses.dataclass(frozen=True)
class ReplicaProfile:
    """A model served by replicas that span several VMs.

    :param name: name of the profile.
    :param model: model to load.
    :param version: version of the model.
    :param adapters: adapters loaded with the model.
    :param vms_per_replica: VMs in each replica, all of one fabric domain.
    :param replicas_per_domain: target number of replicas in each failure
        domain.
    :param min_replicas_per_domain: minimum number of replicas that keep
        serving in each failure domain during a planned change.
    :param downtime_weight: cost per second in which a replica cannot serve.
    :param stranding_weight: cost per second of each accelerator that is not
        part of a serving replica.
    :param max_running: maximum number of requests that a replica runs at
        a time.
    :param ready_within_s: time limit in seconds for the VMs of a new replica
        to become ready; a revision that takes longer is rolled back.
    """

    __pydantic_config__ = codec.STRICT

    name: Name
    model: Name
    version: Name
    vms_per_replica: Count
    replicas_per_domain: Count
    kind: typing.Literal["replica"] = "replica"
    adapters: tuple[Name, ...] = ()
    min_replicas_per_domain: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    downtime_weight: Weight = 1.0
    stranding_weight: Weight = 1.0
    max_running: Count = 32
    ready_within_s: typing.Annotated[
        float, pydantic.Field(gt=0, le=86_400)
    ] = 600.0


@dataclasses.dataclass(frozen=True)
class PlainProfile:
    """An HTTP service to which the system routes without managing it.

    :param name: name of the profile.
    :param addresses: base URLs of its instances by failure domain.
    """

    __pydantic_config__ = codec.STRICT

    name: Name
    kind: typing.Literal["plain"]
    addresses: dict[str, tuple[str, ...]]


Profile = typing.Annotated[
    ReplicaProfile | PlainProfile, pydantic.Field(discriminator="kind")
]
