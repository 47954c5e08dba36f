"""What a request asks for, as far as admission needs it."""

import dataclasses

# A prompt token costs far less than a generated one: it is computed in
# parallel with all others of its prompt.
PROMPT_TOKEN_WORK = 0.02
DEFAULT_LENGTH_TOKENS = 64


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """What a request asks for.

    :param request_id: identity of the request on this node.
    :param service: service that is asked for.
    :param customer: customer that the caller belongs to.
    :param tokens: estimated work in generated tokens.
    :param priority: from 0, shed first, to 9.
    :param deadline: local monotonic time in seconds.
    """

    request_id: str
    service: str
    customer: str
    tokens: float
    priority: int
    deadline: float


def estimated_tokens(prompt_tokens: int, max_tokens: int) -> float:
    """Return the estimated work of a request in generated tokens.

    :param prompt_tokens: length of the prompt.
    :param max_tokens: bound on the answer's length; 0 when unknown.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.estimated_tokens(1000, 100)
    120.0
    """
    length = max_tokens or DEFAULT_LENGTH_TOKENS
    return length + PROMPT_TOKEN_WORK * prompt_tokens
