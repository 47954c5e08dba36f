"""Prompts that were answered lately.

Load pattern: thousands of requests a second whose parts matter only when an
endpoint crashes. So their text is kept as it came, and read then.
"""

import collections

from wasabilanding.gateway import prompt_parts

MAX_PROMPTS = 1024
MAX_TEXT_CHARACTERS = 512
# Least time between two readings of the texts.
READ_INTERVAL_S = 0.5


class AnsweredPrompts:
    """The parts of the prompts of requests that were answered lately."""

    def __init__(self) -> None:
        self._texts: collections.deque[str] = collections.deque(
            maxlen=MAX_PROMPTS
        )
        self._parts: frozenset[str] = frozenset()
        self._read_at = float("-inf")

    def record(self, text: str) -> None:
        """Record a prompt whose request was answered.

        :param text: the parts of the prompt as they came; empty for none.
        """
        if text and len(text) <= MAX_TEXT_CHARACTERS:
            self._texts.append(text)

    def parts(self, now: float) -> frozenset[str]:
        """Return the parts with which requests were answered.

        :param now: local monotonic time in seconds.
        """
        if now - self._read_at >= READ_INTERVAL_S:
            self._read_at = now
            self._parts = frozenset(
                part
                for text in self._texts
                for part in prompt_parts.shared_parts(text)
            )
        return self._parts
