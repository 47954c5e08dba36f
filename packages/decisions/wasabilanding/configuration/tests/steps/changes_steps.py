"""Steps for operators' changes to the configuration."""

import behave

from wasabilanding import configuration
from wasabilanding import model


def _profile(number: int) -> model.ReplicaProfile:
    return model.ReplicaProfile(
        name="draft",
        model="tarifa",
        version=f"v{number}",
        vms_per_replica=2,
        replicas_per_domain=1,
    )


def _revision(document: configuration.Configuration) -> int:
    history = document.profiles.get("draft")
    return history.current.revision if history else 0


def _apply(context, change) -> None:
    try:
        context.document = change()
        context.verdict = "accepted"
    except configuration.ChangeRefused as error:
        context.verdict = "conflict" if error.conflict else "refused"


@behave.given('profile "draft" at revision {standing:d}')
def given_profile(context, standing):
    """Write the profile as often as its revision says."""
    context.document = configuration.Configuration()
    for number in range(standing):
        context.document = configuration.put_profile(
            context.document, _profile(number + 1), number
        )


@behave.when('an operator writes "draft" in place of revision {expected:d}')
def write(context, expected):
    """Write the profile again."""
    _apply(
        context,
        lambda: configuration.put_profile(
            context.document, _profile(99), expected
        ),
    )


@behave.when('an operator rolls "draft" back to revision {to:d}')
def roll_back(context, to):
    """Roll back the current revision."""
    standing = _revision(context.document)
    _apply(
        context,
        lambda: configuration.roll_back(
            context.document, "draft", to, standing
        ),
    )


@behave.then("the change is {verdict}")
def check_verdict(context, verdict):
    """Compare the verdict."""
    assert context.verdict == verdict, context.verdict


@behave.then('profile "draft" is at revision {after:d}')
def check_revision(context, after):
    """Compare the revision."""
    assert _revision(context.document) == after
