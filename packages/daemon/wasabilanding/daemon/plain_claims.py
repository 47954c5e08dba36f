"""Claims of non-idempotent calls to plain services."""

import base64
import json

from wasabilanding import callers
from wasabilanding import claims
from wasabilanding.daemon import claims as claims_module

NON_IDEMPOTENT_HEADER = "x-non-idempotent"
KEY_HEADER = "idempotency-key"
CUSTOMER_HEADER = "x-customer"
DEFAULT_CUSTOMER = "default"


def subject_of(
    service: str, path: str, call: callers.PlainRequest
) -> claims_module.ClaimSubject | None:
    """Return the claim subject of a call, or None when it needs no claim.

    :param service: name of the service.
    :param path: path below its base URL.
    :param call: the call.
    :raises wasabilanding.callers.InvalidRequest: when the header
        X-Non-Idempotent is invalid.
    """
    headers = {name.lower(): text for name, text in call.headers.items()}
    marker = headers.get(NON_IDEMPOTENT_HEADER, "false").lower()
    if marker not in ("true", "false"):
        raise callers.InvalidRequest(
            f"header X-Non-Idempotent: {marker!r} is neither true nor false"
        )
    key = headers.get(KEY_HEADER, "")
    if marker == "false" or not key:
        return None
    scope = "\0".join((call.method, service, path, call.query))
    return claims_module.ClaimSubject(
        headers.get(CUSTOMER_HEADER, DEFAULT_CUSTOMER),
        key,
        claims.fingerprint(call.body, scope),
    )


def encode_answer(answer: callers.PlainResponse) -> list[bytes]:
    """Encode an answer for the store.

    :param answer: the answer.
    """
    return [
        str(answer.status).encode(),
        json.dumps(answer.headers).encode(),
        base64.b64encode(answer.body),
    ]


def decode_answer(payloads: list[bytes]) -> callers.PlainResponse:
    """Decode an answer that :func:`encode_answer` encoded.

    :param payloads: the encoded answer.

    Examples
    ========

    >>> from wasabilanding import callers
    >>> from wasabilanding.daemon import plain_claims
    >>> answer = callers.PlainResponse(200, (("A", "b"),), b"body")
    >>> plain_claims.decode_answer(plain_claims.encode_answer(answer))
    PlainResponse(status=200, headers=(('A', 'b'),), body=b'body')
    """
    status, headers, body = payloads
    pairs = tuple((name, text) for name, text in json.loads(headers))
    return callers.PlainResponse(int(status), pairs, base64.b64decode(body))
