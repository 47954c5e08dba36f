"""State machine of copies of one poisonous request in a failure domain.

Nodes hear of deaths late and in any order, but all within a bound; a replica
that died is rebuilt under a new name.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from wasabilanding.experiments import fuzz
from wasabilanding import poison

NODES = 4
REPLICAS = 8
TOLD_WITHIN_S = 8.0
SEEN_WITHIN_S = 2.5
PILL = "pill"
EXAMPLES = 150
STEPS = 40


class BrokenBound(AssertionError):
    """One request killed too many endpoints."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules under test; a mutant differs in one.

    :param homes: chooses the homes.
    :param refuses: whether condemned requests are refused.
    :param retention_s: how long a dead replica stays a home, in seconds.
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
            self.died_at: dict[str, float] = {}
            self.nodes = [_Node(rules) for _ in range(NODES)]
            self._look()

        def _look(self) -> None:
            # A death is seen late; until then the replica looks usable.
            unseen = {
                name
                for name, at in self.died_at.items()
                if self.now - at < SEEN_WITHIN_S
            }
            for node in self.nodes:
                node.recent.update(self.alive | unseen, self.now)

        def _tell_all(self) -> None:
            for one in self.nodes:
                for other in self.nodes:
                    self._tell(one, other)

        def _tell(self, one: _Node, other: _Node) -> None:
            for notice in one.suspicions.gossip_entries(
                self.now, everything=True
            ):
                other.suspicions.learn(notice, self.now)

        def _allowed(self, node: _Node) -> tuple[str, ...]:
            status = node.suspicions.status(PILL, self.now)
            if rules.refuses and status.quarantined:
                return ()
            homes = rules.homes("prefix", PILL, node.recent.names)
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
            self.died_at[replica] = self.now
            sender.suspicions.record_crash(PILL, replica, self.now)
            if len(self.died_at) > 3:
                raise BrokenBound("four deaths")

        @stateful.rule(
            one=strategies.integers(0, NODES - 1),
            other=strategies.integers(0, NODES - 1),
        )
        def tell(self, one: int, other: int) -> None:
            self._tell(self.nodes[one], self.nodes[other])

        @stateful.rule(tenths=strategies.integers(1, 40))
        def pass_time(self, tenths: int) -> None:
            self.now += tenths / 10
            overdue = [
                at
                for at in self.died_at.values()
                if self.now - at > TOLD_WITHIN_S - 4.0
            ]
            if overdue:
                self._tell_all()
            self._look()

        @stateful.precondition(lambda self: self.died_at)
        @stateful.rule(index=strategies.integers(0, 9))
        def rebuild(self, index: int) -> None:
            dead = sorted(self.died_at)[index % len(self.died_at)]
            vm, _, epoch = dead.partition("@")
            reborn = f"{vm}@{int(epoch) + 1}"
            if self.now - self.died_at[dead] < SEEN_WITHIN_S:
                return
            if reborn not in self.died_at:
                self.alive.add(reborn)
                self._look()

    return PoisonMachine


def search(rules: Rules) -> str:
    """Return the bound that some order of events breaks.

    :param rules: the rules.
    """
    return fuzz.search(machine(rules), BrokenBound, EXAMPLES, STEPS)
