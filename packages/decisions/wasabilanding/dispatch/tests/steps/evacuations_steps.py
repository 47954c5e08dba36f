"""Steps for evacuated failure domains."""

import re

import behave

from wasabilanding import dispatch
from wasabilanding import model

LOST_TTL_S = 20.0
STATEMENT = re.compile(r"(\w+)([+-])(\d+)\.(\d+)")


def _revision(text):
    era, _, number = text.partition(".")
    return model.StoreRevision(int(era), int(number))


def _learn(known, text, now):
    """Apply one statement, listing or wait; return the time afterwards."""
    found = STATEMENT.fullmatch(text)
    if found:
        name, sign, era, number = found.groups()
        revision = model.StoreRevision(int(era), int(number))
        known.note(
            name, dispatch.EvacuationStatement(sign == "+", revision, now), now
        )
        return now
    kind, value, *names = text.split()
    if kind == "wait":
        known.expire(now + float(value))
        return now + float(value)
    revision = _revision(value)
    lost_ttl_s = LOST_TTL_S if kind == "restore" else 0.0
    known.replace(dict.fromkeys(names, revision), revision, now, lost_ttl_s)
    return now


@behave.when('a node learns "{statements}"')
def learn(context, statements):
    """Apply statements in order."""
    context.known = dispatch.Evacuations()
    context.now = 0.0
    for text in statements.split(", "):
        context.now = _learn(context.known, text, context.now)


@behave.then('the evacuated failure domains are "{names}"')
def check_evacuated(context, names):
    """Compare the evacuated failure domains."""
    found = " ".join(sorted(context.known.evacuated)) or "-"
    assert found == names, found


@behave.then('other nodes are told "{statements}"')
def check_told(context, statements):
    """Compare what other nodes are told."""
    found = " ".join(
        f"{name}{'+' if s.is_evacuated else '-'}"
        f"{s.revision.era}.{s.revision.number}"
        for name, s in context.known.due(context.now).items()
    )
    assert (found or "-") == statements, found
