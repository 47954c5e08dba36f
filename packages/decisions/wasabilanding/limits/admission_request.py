"""Properties of a request that admission depends on."""

import dataclasses

# Cost of a prompt token relative to a generated token. It is lower because the
# tokens of a prompt are processed in parallel.
PROMPT_TOKEN_WORK = 0.02
DEFAULT_LENGTH_TOKENS = 64


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """Request for admission.

    :param request_id: identity of the request on this node.
    :param service: name of the service.
    :param customer: customer of the caller.
    :param tokens: estimated work in generated tokens.
    :param priority: from 0 (served last and refused first) to 9.
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
    :param max_tokens: maximum length of the answer; 0 when unknown.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.estimated_tokens(1000, 100)
    120.0
    """
    length = max_tokens or DEFAULT_LENGTH_TOKENS
    return length + PROMPT_TOKEN_WORK * prompt_tokens
