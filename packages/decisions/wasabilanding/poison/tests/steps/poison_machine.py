"""State machine of copies of a crashing request in a failure domain.

Nodes receive notices of crashes in any order, but within a time limit. A
crashed replica is rebuilt under a new name.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from wasabilanding.experiments import fuzz
from wasabilanding import poison

NODES = 4
REPLICAS = 8
NOTIFIED_WITHIN_S = 8.0
DETECTED_WITHIN_S = 2.5
FINGERPRINT = "pill"
EXAMPLES = 150
STEPS = 40


class BoundExceeded(AssertionError):
    """One request crashed too many endpoints."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules under test; each mutant changes one rule.

    :param homes: function that chooses the homes.
    :param refuses: whether quarantined requests are refused.
    :param retention_s: time for which a crashed replica stays a home, in
        seconds.
    """

    homes: object = poison.home_names
    refuses: bool = True
    retention_s: float = poison.HOME_RETENTION_S


RULES = {
    "all rules": Rules(),
    "no homes": Rules(homes=lambda prefix, text, names: tuple(sorted(names))),
    "no refusal": Rules(refuses=False),
    "homes forgotten at once": Rules(retention_s=0.0),
}


class _Node:
    def __init__(self, rules: Rules) -> None:
        self.suspicions = poison.Suspicions()
        self.recent = poison.HomeCandidates(rules.retention_s)


def machine(rules: Rules) -> type[stateful.RuleBasedStateMachine]:
    """Return the state machine under the given rules."""

    class PoisonMachine(stateful.RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.now = 0.0
            self.alive = {f"vm-{index}@1" for index in range(REPLICAS)}
            self.crashed_at: dict[str, float] = {}
            self.nodes = [_Node(rules) for _ in range(NODES)]
            self._update_candidates()

        def _update_candidates(self) -> None:
            # Until a crash is detected, the replica appears usable.
            undetected = {
                name
                for name, at in self.crashed_at.items()
                if self.now - at < DETECTED_WITHIN_S
            }
            for node in self.nodes:
                node.recent.update(self.alive | undetected, self.now)

        def _notify_all(self) -> None:
            for one in self.nodes:
                for other in self.nodes:
                    self._notify(one, other)

        def _notify(self, one: _Node, other: _Node) -> None:
            for notice in one.suspicions.gossip_entries(
                self.now, everything=True
            ):
                other.suspicions.merge(notice, self.now)

        def _allowed(self, node: _Node) -> tuple[str, ...]:
            status = node.suspicions.status(FINGERPRINT, self.now)
            if rules.refuses and status.quarantined:
                return ()
            homes = rules.homes("prefix", FINGERPRINT, node.recent.names)
            if status.suspected:
                return poison.trial_names(homes, status.crashed, self.alive)
            return tuple(home for home in homes if home in self.alive)

        @stateful.rule(
            node=strategies.integers(0, NODES - 1),
            choice=strategies.integers(0, REPLICAS),
        )
        def submit(self, node: int, choice: int) -> None:
            sender = self.nodes[node]
            allowed = self._allowed(sender)
            if not allowed:
                return
            replica = allowed[choice % len(allowed)]
            self.alive.discard(replica)
            self.crashed_at[replica] = self.now
            sender.suspicions.record_crash(FINGERPRINT, replica, self.now)
            if len(self.crashed_at) > 3:
                raise BoundExceeded("four deaths")

        @stateful.rule(
            one=strategies.integers(0, NODES - 1),
            other=strategies.integers(0, NODES - 1),
        )
        def tell(self, one: int, other: int) -> None:
            self._notify(self.nodes[one], self.nodes[other])

        @stateful.rule(tenths=strategies.integers(1, 40))
        def pass_time(self, tenths: int) -> None:
            self.now += tenths / 10
            overdue = [
                at
                for at in self.crashed_at.values()
                if self.now - at > NOTIFIED_WITHIN_S - 4.0
            ]
            if overdue:
                self._notify_all()
            self._update_candidates()

        @stateful.precondition(lambda self: self.crashed_at)
        @stateful.rule(index=strategies.integers(0, 9))
        def rebuild(self, index: int) -> None:
            crashed_name = sorted(self.crashed_at)[
                index % len(self.crashed_at)
            ]
            vm, _, epoch = crashed_name.partition("@")
            rebuilt = f"{vm}@{int(epoch) + 1}"
            if self.now - self.crashed_at[crashed_name] < DETECTED_WITHIN_S:
                return
            if rebuilt not in self.crashed_at:
                self.alive.add(rebuilt)
                self._update_candidates()

    return PoisonMachine


def search(rules: Rules) -> str:
    """Return the bound that some order of events exceeds.

    :param rules: the rules.
    """
    return fuzz.search(machine(rules), BoundExceeded, EXAMPLES, STEPS)
