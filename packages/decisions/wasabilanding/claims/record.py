"""The claim as it stands in the store."""

import dataclasses
import enum
import hashlib
import json

from wasabilanding import model

DIGEST_BYTES = 16
# Says how the answer is delivered, not what is asked for.
DELIVERY_FIELDS = frozenset(("stream", "stream_options"))


class ClaimState(enum.Enum):
    """How far the request of a claim has come."""

    OPEN = "open"
    FINISHED = "finished"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Claim of one key.

    :param token: names the write that took the claim.
    :param node: node that took it.
    :param incarnation: incarnation of that node.
    :param fingerprint: fingerprint of the request's body.
    :param state: how far the request has come.
    :param outcome: outcome of a finished request.
    :param answer_kept: whether its answer was stored beside the claim.
    """

    token: str
    node: str
    incarnation: int
    fingerprint: str
    state: ClaimState = ClaimState.OPEN
    outcome: model.Outcome | None = None
    answer_kept: bool = False


def fingerprint(body: bytes, scope: str = "") -> str:
    """Return the fingerprint of a request's body.

    JSON is compared by its content: the order of fields and white space
    between them do not count, nor does the way of delivery.

    :param body: the body; need not be JSON.
    :param scope: what else belongs to the request, such as a path.

    Examples
    ========

    >>> from wasabilanding import claims
    >>> one = claims.fingerprint(b'{"a": 1, "stream": true}')
    >>> one == claims.fingerprint(b'{"a":1}')
    True
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        canonical = body
    else:
        if isinstance(document, dict):
            document = {
                name: value
                for name, value in document.items()
                if name not in DELIVERY_FIELDS
            }
        canonical = json.dumps(document, sort_keys=True).encode()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(scope.encode() + b"\0" + canonical)
    return digest.hexdigest()


def begin(
    token: str, node: str, incarnation: int, body_fingerprint: str
) -> Claim:
    """Return an open claim.

    :param token: names this write, unlike any other.
    :param node: node that takes it.
    :param incarnation: incarnation of that node.
    :param body_fingerprint: fingerprint of the request's body.
    """
    return Claim(token, node, incarnation, body_fingerprint)


def conclude(
    claim: Claim, outcome: model.Outcome, answer_kept: bool = False
) -> Claim:
    """Return a claim at the end of its request.

    :param claim: the open claim.
    :param outcome: outcome of the request; when it was not run, the claim
        is released.
    :param answer_kept: whether the answer was stored.
    """
    if outcome.verdict is model.Verdict.NOT_RUN:
        return dataclasses.replace(claim, state=ClaimState.RELEASED)
    return dataclasses.replace(
        claim,
        state=ClaimState.FINISHED,
        outcome=outcome,
        answer_kept=answer_kept,
    )
