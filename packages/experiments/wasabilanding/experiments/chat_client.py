"""HTTP client that sends a streamed chat request and checks its answer."""

import collections.abc
import dataclasses
import json

import httpx

from wasabilanding.standins import engine

TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """Result of a request.

    :param status: HTTP status.
    :param verdict: completed, not_run or may_have_run.
    :param complete: whether the received text equals the expected text.
    """

    status: int
    verdict: str
    complete: bool


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A streamed chat completion request.

    :param service: name of the service, sent as the model.
    :param prompt: content of the user message.
    :param max_tokens: number of tokens to generate, one per text part.
    :param headers: additional HTTP headers.
    """

    service: str
    prompt: str
    max_tokens: int
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def body(self) -> dict:
        """JSON body of the request."""
        return {
            "model": self.service,
            "stream": True,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        }

    @property
    def expected_text(self) -> str:
        """Complete answer that the stand-in engine generates."""
        parts = range(self.max_tokens)
        return "".join(engine.part_text(self.prompt, i) for i in parts)


def _chunks(response: httpx.Response) -> collections.abc.Iterator[dict]:
    for line in response.iter_lines():
        if line.startswith("data: ") and line != "data: [DONE]":
            yield json.loads(line.removeprefix("data: "))


def _content(chunk: dict) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def send_request(url: str, request: ChatRequest) -> Answer:
    """Send a streamed request and check its answer.

    :param url: base URL of an entry VM.
    :param request: request to send.
    """
    text = ""
    with httpx.stream(
        "POST",
        f"{url}/v1/chat/completions",
        json=request.body,
        headers=dict(request.headers),
        timeout=TIMEOUT_S,
    ) as response:
        if response.is_error:
            verdict = response.headers.get("X-Outcome", "may_have_run")
            return Answer(response.status_code, verdict, False)
        for chunk in _chunks(response):
            if "error" in chunk:
                verdict = chunk["error"]["outcome"]
                return Answer(response.status_code, verdict, False)
            text += _content(chunk)
    return Answer(
        response.status_code, "completed", text == request.expected_text
    )
