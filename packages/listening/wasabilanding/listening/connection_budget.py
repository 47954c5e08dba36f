"""Open connections of a listener, and what each is being used for.

Which one is closed for a new one is decided in :mod:`wasabilanding.limits`.
"""

import collections.abc
import contextlib
import logging

import trio

from wasabilanding import limits
from wasabilanding.listening import connection as connection_module

# Connections that are looked at for a new one.
MAX_CANDIDATES = 8
# Between two log lines on closed connections.
LOG_INTERVAL_S = 10.0
NO_LIMIT = float("inf")
_LOG = logging.getLogger(__name__)
_Connection = connection_module.Connection


class ConnectionBudget:
    """Connections that may be open at the same time.

    Each standing has its connections in the order in which they got it.

    :param limit: their number; infinite for any.
    """

    def __init__(self, limit: float = NO_LIMIT) -> None:
        self.limit = limit
        # Local monotonic times in seconds since when they have their standing.
        self._by_standing: dict[
            limits.ConnectionStanding, dict[_Connection, float]
        ] = {standing: {} for standing in limits.ConnectionStanding}
        self._standing: dict[_Connection, limits.ConnectionStanding] = {}
        self._closed = 0
        self._logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._standing)

    def __iter__(self) -> collections.abc.Iterator[_Connection]:
        return iter(tuple(self._standing))

    @contextlib.contextmanager
    def holding(
        self, connection: _Connection
    ) -> collections.abc.Iterator[bool]:
        """Count a connection until the end of the block.

        Yield whether it may be served: if too many are open, another one is
        closed for it, unless all have complete requests.

        :param connection: the connection.
        """
        is_admitted = len(self) < self.limit or self._close_another()
        self._set(connection, limits.ConnectionStanding.UNUSED)
        connection.on_standing = lambda standing: self._set(
            connection, standing
        )
        try:
            yield is_admitted
        finally:
            self._forget(connection)

    def _set(
        self, connection: _Connection, standing: limits.ConnectionStanding
    ) -> None:
        self._forget(connection)
        self._standing[connection] = standing
        self._by_standing[standing][connection] = trio.current_time()

    def _forget(self, connection: _Connection) -> None:
        earlier = self._standing.pop(connection, None)
        if earlier is not None:
            del self._by_standing[earlier][connection]

    def _close_another(self) -> bool:
        """Close a connection; return whether one was."""
        for _ in range(MAX_CANDIDATES):
            since = {
                standing: next(iter(found.values()))
                for standing, found in self._by_standing.items()
                if found
            }
            standing = limits.connection_to_close(since, trio.current_time())
            if standing is None:
                break
            connection = next(iter(self._by_standing[standing]))
            if connection.has_unread_bytes:
                # Its request may have arrived: others go first.
                self._set(connection, standing)
                continue
            self._forget(connection)
            # Its own end must not count it again.
            connection.on_standing = lambda standing: None
            connection.end_at_limit()
            self._record_close(standing.value)
            return True
        self._record_close("new")
        return False

    def _record_close(self, standing: str) -> None:
        """Log closes, but not each of them."""
        self._closed += 1
        now = trio.current_time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        _LOG.warning(
            "closes connections, as too many are open",
            extra={
                "closed": self._closed,
                "last_closed": standing,
                "open": len(self),
                "limit": self.limit,
            },
        )
        self._closed = 0
        self._logged_at = now
