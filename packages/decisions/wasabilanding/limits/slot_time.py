"""How long a request holds a batch slot, per token of estimated work."""

LEARNING_RATE = 0.05


class SlotTime:
    """Moving average of the slot time per token.

    :param learning_rate: weight of each new observation.
    """

    def __init__(self, learning_rate: float = LEARNING_RATE) -> None:
        self._learning_rate = learning_rate
        self._per_token_s: float | None = None

    @property
    def per_token_s(self) -> float:
        """Seconds per token; 0 before the first observation."""
        return self._per_token_s or 0.0

    def observe(self, tokens: float, held_s: float) -> None:
        """Learn from a request that completed.

        :param tokens: its estimated work.
        :param held_s: time in which it held its slot, in seconds.
        """
        seen = held_s / max(1.0, tokens)
        known = self._per_token_s
        if known is None:
            self._per_token_s = seen
            return
        self._per_token_s = known + self._learning_rate * (seen - known)
