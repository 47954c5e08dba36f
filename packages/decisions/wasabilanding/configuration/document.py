"""The configuration document and the order of its revisions."""

import dataclasses
import typing

import pydantic

from wasabilanding import model
from wasabilanding.model import codec

MAX_DOCUMENT_BYTES = 1_000_000
KEPT_REVISIONS = 8
KEPT_WRITERS = 64


@dataclasses.dataclass(frozen=True)
class ProfileRevision:
    """Accepted revision of a profile.

    :param revision: number of the revision, counted per profile from 1.
    :param profile: content of the revision.
    """

    revision: int
    profile: model.Profile


@dataclasses.dataclass(frozen=True)
class ProfileHistory:
    """The latest revisions of one profile, oldest first.

    :param revisions: at most :data:`KEPT_REVISIONS` revisions.
    """

    revisions: tuple[ProfileRevision, ...]

    @property
    def current(self) -> ProfileRevision:
        """The revision in force."""
        return self.revisions[-1]


@dataclasses.dataclass(frozen=True)
class ServiceChoice:
    """The profile that a service runs under.

    :param profile: name of the chosen profile.
    :param revision: number of the choice, counted per service from 1.
    """

    profile: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer's share of the capacity.

    :param weight: share relative to the other customers.
    :param max_in_flight: requests in flight per entry VM; 0 for no limit.
    """

    __pydantic_config__ = codec.STRICT

    weight: typing.Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    max_in_flight: typing.Annotated[int, pydantic.Field(ge=0)] = 0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The operators' configuration.

    :param revision: revision of the platform's store; 0 before the first
        write. It is not part of the stored value.
    :param profiles: history of each profile by name.
    :param services: chosen profile of each service by name.
    :param customers: customers by name.
    :param writers: tokens of the latest writes, newest last, by which a
        write is found to have succeeded although its answer was lost.
    """

    revision: int = 0
    profiles: dict[str, ProfileHistory] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, ServiceChoice] = dataclasses.field(
        default_factory=dict
    )
    customers: dict[str, Customer] = dataclasses.field(default_factory=dict)
    writers: tuple[str, ...] = ()

    def profile_of(self, service: str) -> ProfileRevision | None:
        """Return the profile in force for a service.

        :param service: name of the service.
        :returns: its profile, or None for an unknown service.
        """
        choice = self.services.get(service)
        if choice is None:
            return None
        return self.profiles[choice.profile].current


def supersedes(candidate: Configuration, current: Configuration) -> bool:
    """Tell whether ``candidate`` is newer than ``current``.

    Examples
    ========

    >>> from wasabilanding import configuration
    >>> old = configuration.Configuration(revision=4)
    >>> new = configuration.Configuration(revision=9)
    >>> configuration.supersedes(new, old), configuration.supersedes(old, new)
    (True, False)
    """
    return candidate.revision > current.revision
