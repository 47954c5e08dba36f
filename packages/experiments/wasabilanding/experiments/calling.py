"""A caller of the demo: sends a request and checks its answer."""

import collections.abc
import dataclasses
import json

import httpx

from wasabilanding.standins import engine

TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got.

    :param status: HTTP status.
    :param verdict: completed, not_run or may_have_run.
    :param whole: whether the text is exactly the one that was due.
    """

    status: int
    verdict: str
    whole: bool


@dataclasses.dataclass(frozen=True)
class Question:
    """A streamed request.

    :param service: service that is asked for.
    :param prompt: text of the request.
    :param length: parts that are asked for.
    :param headers: further headers.
    """

    service: str
    prompt: str
    length: int
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def body(self) -> dict:
        """JSON body of the request."""
        return {
            "model": self.service,
            "stream": True,
            "max_tokens": self.length,
            "messages": [{"role": "user", "content": self.prompt}],
        }

    @property
    def due(self) -> str:
        """The whole answer that is due."""
        parts = range(self.length)
        return "".join(engine.part_text(self.prompt, i) for i in parts)


def _chunks(response: httpx.Response) -> collections.abc.Iterator[dict]:
    for line in response.iter_lines():
        if line.startswith("data: ") and line != "data: [DONE]":
            yield json.loads(line.removeprefix("data: "))


def _content(chunk: dict) -> str:
    choices = chunk.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


def ask(url: str, question: Question) -> Answer:
    """Send a streamed request and check its answer.

    :param url: base URL of an entry VM.
    :param question: the request.
    """
    text = ""
    with httpx.stream(
        "POST",
        f"{url}/v1/chat/completions",
        json=question.body,
        headers=dict(question.headers),
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
    return Answer(response.status_code, "completed", text == question.due)
