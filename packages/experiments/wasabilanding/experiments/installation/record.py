"""Record of the faults and planned changes of a run."""

import dataclasses
import time

import trio

from wasabilanding.experiments.installation import evacuation


@dataclasses.dataclass(frozen=True)
class TimeoutChange:
    """A configuration that may have changed the timeout of the routes.

    :param sent_at: monotonic time in seconds at which it was sent to the
        store.
    :param timeout_s: request timeout of all routes in seconds.
    """

    sent_at: float
    timeout_s: float


class ChangeRecord:
    """Faults and planned changes in order, and what checks need of them."""

    def __init__(self) -> None:
        self.actions: list[str] = []
        self.revoked: dict[str, float] = {}
        self.terminations: dict[str, list[float]] = {}
        self.timeouts: list[TimeoutChange] = []
        self.late_exits: list[str] = []
        self.killed: set[str] = set()
        self.gateway_kills: dict[str, list[float]] = {}
        self.evacuations: list[evacuation.Evacuation] = []

    def add(self, text: str) -> None:
        """Record an action with the time of day, as in the logs.

        :param text: description of the action.
        """
        self.actions.append(f"{time.time():.3f} {text}")

    def add_termination(self, gateway: str) -> None:
        """Record a SIGTERM.

        :param gateway: name of the gateway.
        """
        self.add(f"SIGTERM {gateway}")
        now = trio.current_time()
        self.terminations.setdefault(gateway, []).append(now)

    def add_gateway_kill(self, gateway: str) -> None:
        """Record that a gateway is about to be killed.

        :param gateway: name of the gateway.
        """
        self.add(f"SIGKILL {gateway}")
        now = trio.current_time()
        self.gateway_kills.setdefault(gateway, []).append(now)

    def add_late_exit(self, gateway: str) -> None:
        """Record that a gateway did not exit in time after a SIGTERM.

        :param gateway: name of the gateway.
        """
        self.add(f"{gateway} did not exit in time")
        self.late_exits.append(gateway)

    def add_timeout(self, timeout_s: float) -> None:
        """Record the timeout of a configuration that is about to be sent.

        :param timeout_s: request timeout of all routes in seconds.
        """
        change = TimeoutChange(trio.current_time(), timeout_s)
        self.timeouts.append(change)
