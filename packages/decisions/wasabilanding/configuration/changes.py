"""Operators' changes to the configuration document."""

import dataclasses

from wasabilanding.configuration import document
from wasabilanding import model


class ChangeRefused(ValueError):
    """A change does not apply to the current document.

    :param detail: explanation that names the offending value.
    :param conflict: whether another change was accepted first.
    """

    def __init__(self, detail: str, conflict: bool = False) -> None:
        super().__init__(detail)
        self.conflict = conflict


def _check_revision(what: str, expected: int, actual: int) -> None:
    if expected != actual:
        raise ChangeRefused(
            f"{what} is at revision {actual}, not {expected}; "
            "nothing was changed",
            conflict=True,
        )


def _append(
    history: document.ProfileHistory | None, profile: model.Profile
) -> document.ProfileHistory:
    if history is None:
        first = document.ProfileRevision(1, profile)
        return document.ProfileHistory((first,))
    number = history.current.revision + 1
    revisions = (
        *history.revisions,
        document.ProfileRevision(number, profile),
    )
    return document.ProfileHistory(revisions[-document.KEPT_REVISIONS :])


def put_profile(
    configuration: document.Configuration,
    profile: model.Profile,
    expected_revision: int,
) -> document.Configuration:
    """Write a new content of a profile.

    :param configuration: the current document.
    :param profile: the new content.
    :param expected_revision: revision that it replaces; 0 for a new profile.
    :returns: the next document.
    :raises ChangeRefused: when another change was accepted first, or if the
        kind of an existing profile would change.
    """
    history = configuration.profiles.get(profile.name)
    actual = history.current.revision if history else 0
    _check_revision(f"profile {profile.name}", expected_revision, actual)
    if history and history.current.profile.kind != profile.kind:
        raise ChangeRefused(
            f"profile {profile.name} has kind "
            f"{history.current.profile.kind}, not {profile.kind}"
        )
    profiles = dict(configuration.profiles)
    profiles[profile.name] = _append(history, profile)
    return dataclasses.replace(configuration, profiles=profiles)


def choose_profile(
    configuration: document.Configuration,
    service: str,
    profile: str,
    expected_revision: int | None = None,
) -> document.Configuration:
    """Choose the profile that a service runs under.

    :param configuration: the current document.
    :param service: name of the service.
    :param profile: name of the profile.
    :param expected_revision: revision of the choice that is replaced; None
        to replace any.
    :returns: the next document.
    :raises ChangeRefused: for an unknown profile, or when another change was
        accepted first.
    """
    if profile not in configuration.profiles:
        raise ChangeRefused(f"profile {profile} does not exist")
    current = configuration.services.get(service)
    actual = current.revision if current else 0
    if expected_revision is not None:
        _check_revision(f"service {service}", expected_revision, actual)
    services = dict(configuration.services)
    services[service] = document.ServiceChoice(profile, actual + 1)
    return dataclasses.replace(configuration, services=services)


def roll_back(
    configuration: document.Configuration,
    name: str,
    to_revision: int,
    expected_revision: int,
) -> document.Configuration:
    """Write an earlier content of a profile as a new revision.

    :param configuration: the current document.
    :param name: name of the profile.
    :param to_revision: revision whose content is restored.
    :param expected_revision: revision that is replaced.
    :returns: the next document.
    :raises ChangeRefused: if that revision is no longer stored, or when
        another change was accepted first.
    """
    history = configuration.profiles.get(name)
    if history is None:
        raise ChangeRefused(f"profile {name} does not exist")
    for entry in history.revisions:
        if entry.revision == to_revision:
            return put_profile(configuration, entry.profile, expected_revision)
    kept = [entry.revision for entry in history.revisions]
    raise ChangeRefused(
        f"revision {to_revision} of profile {name} is not stored; "
        f"stored revisions: {kept}"
    )


def set_customer(
    configuration: document.Configuration,
    name: str,
    customer: document.Customer,
) -> document.Configuration:
    """Set a customer's share of the capacity.

    :param configuration: the current document.
    :param name: name of the customer.
    :param customer: its share.
    :returns: the next document.
    """
    customers = dict(configuration.customers)
    customers[name] = customer
    return dataclasses.replace(configuration, customers=customers)
