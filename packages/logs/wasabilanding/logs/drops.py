"""Counts of log lines that were dropped."""

import collections.abc
import threading

from wasabilanding.logs import kinds

# Reasons why a line is dropped.
RATE = "rate"
BUFFER = "buffer"
WRITE = "write"
REASONS = (RATE, BUFFER, WRITE)

# Names and values of labels, in a fixed order.
Labels = tuple[tuple[str, str], ...]


class Drops:
    """Counts dropped lines by reason and kind; used by several threads.

    All labels are present from the start, so that another thread may iterate
    over the counts at any time.

    :param line_kinds: all kinds of lines.
    """

    def __init__(
        self, line_kinds: collections.abc.Iterable[kinds.Kind]
    ) -> None:
        self._lock = threading.RLock()
        self._keys = {
            (reason, kind): (("reason", reason), ("kind", kind.name))
            for reason in REASONS
            for kind in line_kinds
        }
        self.counts: dict[Labels, int] = dict.fromkeys(self._keys.values(), 0)
        self._reported = dict(self.counts)

    def add(self, reason: str, kind: kinds.Kind) -> None:
        """Count a dropped line.

        :param reason: why it was dropped.
        :param kind: its kind.
        """
        with self._lock:
            self.counts[self._keys[reason, kind]] += 1

    def take_unreported(self) -> dict[str, dict[str, int]]:
        """Return the counts since the last call, by reason and kind.

        Counts that have not changed are left out.
        """
        found: dict[str, dict[str, int]] = {}
        with self._lock:
            for (reason, kind), key in self._keys.items():
                count = self.counts[key] - self._reported[key]
                if count:
                    found.setdefault(reason, {})[kind.name] = count
            self._reported = dict(self.counts)
        return found
