"""Claims as they are stored."""

import dataclasses
import enum
import hashlib
import json

from wasabilanding import model

DIGEST_BYTES = 16
# Fields that affect only how the answer is delivered.
DELIVERY_FIELDS = frozenset(("stream", "stream_options"))


class ClaimState(enum.Enum):
    """State of the request of a claim."""

    OPEN = "open"
    FINISHED = "finished"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Claim of one key.

    :param token: identity of the write that took the claim.
    :param node: node that took the claim.
    :param incarnation: incarnation of that node.
    :param fingerprint: fingerprint of the request's body.
    :param state: state of the request.
    :param outcome: outcome of a finished request.
    :param answer_kept: whether its answer was stored along with the claim.
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

    The fingerprint of a JSON body does not depend on the order of fields,
    white space between them or the fields in :data:`DELIVERY_FIELDS`.

    :param body: the body, which need not be JSON.
    :param scope: other data that identifies the request, such as its path.

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

    :param token: unique identity of this write.
    :param node: node that takes the claim.
    :param incarnation: incarnation of that node.
    :param body_fingerprint: fingerprint of the request's body.
    """
    return Claim(token, node, incarnation, body_fingerprint)


def conclude(
    claim: Claim, outcome: model.Outcome, answer_kept: bool = False
) -> Claim:
    """Return the final state of a claim.

    :param claim: the open claim.
    :param outcome: outcome of the request; the claim is released if the
        request was not run.
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
