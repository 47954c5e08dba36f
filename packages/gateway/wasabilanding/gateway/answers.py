"""Answers that the node generates itself."""

import dataclasses
import json

from wasabilanding.gateway import messages

JSON_TYPE = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer that the node generates itself.

    :param status: HTTP status.
    :param reason: error code, for logs and callers.
    :param detail: human-readable explanation.
    :param retry_after_s: seconds after which the caller should retry.
    """

    status: int
    reason: str
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def body(self) -> bytes:
        """JSON body."""
        error = {"reason": self.reason, "detail": self.detail}
        return json.dumps({"error": error}).encode()

    @property
    def headers(self) -> list[messages.Header]:
        """Headers except the content length."""
        headers = [JSON_TYPE]
        if self.retry_after_s is not None:
            text = f"{self.retry_after_s:.3f}".rstrip("0").rstrip(".")
            headers.append((b"retry-after", text.encode()))
        return headers


def not_run(reason: str, detail: str, retry_after_s: float) -> Answer:
    """Return the answer to a request that did not run and may be retried.

    :param reason: error code.
    :param detail: human-readable explanation.
    :param retry_after_s: seconds after which the caller should retry.
    """
    return Answer(503, reason, detail, retry_after_s)


def may_have_run(reason: str, detail: str) -> Answer:
    """Return the answer to a request that may have run.

    :param reason: error code.
    :param detail: human-readable explanation.
    """
    return Answer(502, reason, detail)


def timed_out(detail: str) -> Answer:
    """Return the answer to a request whose deadline has passed.

    :param detail: human-readable explanation.
    """
    return Answer(504, "deadline", detail)
