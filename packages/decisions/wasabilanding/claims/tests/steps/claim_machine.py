"""State machine of the tries of one key around a compare-and-swap store.

A write is on its way until it arrives; its sender may have given up by then,
be paused, or be gone. Whatever the order, one try at most may run.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from wasabilanding import claims
from wasabilanding.experiments import fuzz
from wasabilanding import model

NOT_RUN = model.not_run(model.Reason.NO_REPLICA, "none")
LOST = model.may_have_run(model.Reason.CONNECTION_LOST, "lost")
BODY = claims.fingerprint(b"{}")
EXAMPLES = 200
STEPS = 25


class BrokenPromise(AssertionError):
    """A promise was broken."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules under test; a mutant differs in one.

    :param compares: whether the store compares revisions.
    :param decide: rule for a claim that was found.
    :param settle: rule for a claim's end.
    """

    compares: bool = True
    decide: object = claims.decide
    settle: object = claims.settle


def _take_open(existing, wanted, owner_live):
    if existing.token != wanted.token:
        return claims.Take()
    return claims.decide(existing, wanted, owner_live)


def _settle_without_seal(existing, final):
    if existing is None or existing.token != final.token:
        return claims.NothingToWrite()
    return claims.settle(existing, final)


RULES = {
    "whole": Rules(),
    "without compare-and-swap": Rules(compares=False),
    "without respect for open claims": Rules(decide=_take_open),
    "without sealing": Rules(settle=_settle_without_seal),
}


@dataclasses.dataclass(eq=False)
class Try:
    """One try of the key.

    :param claim: what it writes.
    :param phase: claiming, running, settling, told or gone.
    :param expected: revision that its next write replaces.
    :param write: its write on the way, or None.
    """

    claim: claims.Claim
    phase: str = "claiming"
    expected: int = 0
    write: "Write | None" = None


@dataclasses.dataclass(eq=False)
class Write:
    """A write on its way; it arrives once, whenever that is."""

    claim: claims.Claim
    expected: int
    taken: bool | None = None


def machine(rules: Rules) -> type[stateful.RuleBasedStateMachine]:
    """Return the state machine under the given rules."""

    class ClaimMachine(stateful.RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.existing: claims.Claim | None = None
            self.revision = 0
            self.tries: list[Try] = []
            self.underway: list[Write] = []
            self.runs = 0

        def _arrive(self, write: Write) -> None:
            self.underway.remove(write)
            write.taken = not rules.compares or write.expected == self.revision
            if write.taken:
                self.revision += 1
                self.existing = write.claim

        def _run(self, one: Try) -> None:
            one.phase = "running"
            self.runs += 1
            if self.runs > 1:
                raise BrokenPromise("a request that ran twice")

        def _pick(self, index: int, *phases: str) -> Try | None:
            ready = [x for x in self.tries if x.phase in phases]
            return ready[index % len(ready)] if ready else None

        @stateful.rule()
        def begin(self) -> None:
            if len(self.tries) < 6:
                token = f"t{len(self.tries)}"
                claim = claims.begin(token, "node", 1, BODY)
                self.tries.append(Try(claim))

        @stateful.rule(index=strategies.integers(0, 5))
        def send(self, index: int) -> None:
            one = self._pick(index, "claiming", "settling")
            if one and one.write is None:
                one.write = Write(one.claim, one.expected)
                self.underway.append(one.write)

        @stateful.rule(index=strategies.integers(0, 5))
        def exchange(self, index: int) -> None:
            """Send, arrive and hear without a fault."""
            self.send(index)
            one = self._pick(index, "claiming", "settling")
            if one and one.write in self.underway:
                self._arrive(one.write)
            self.hear(index)

        @stateful.precondition(lambda self: self.underway)
        @stateful.rule(index=strategies.integers(0, 9))
        def arrive(self, index: int) -> None:
            if self.underway:
                self._arrive(self.underway[index % len(self.underway)])

        @stateful.rule(index=strategies.integers(0, 5))
        def hear(self, index: int) -> None:
            one = self._pick(index, "claiming", "settling")
            if one is None or one.write is None or one.write.taken is None:
                return
            taken, one.write = one.write.taken, None
            if not taken:
                self._read(one)
            elif one.phase == "claiming":
                self._run(one)
            else:
                one.phase = "told"

        @stateful.precondition(lambda self: any(x.write for x in self.tries))
        @stateful.rule(index=strategies.integers(0, 5))
        def lose_answer(self, index: int) -> None:
            one = self._pick(index, "claiming", "settling")
            if one and one.write is not None:
                one.write = None
                self._read(one)

        def _read(self, one: Try) -> None:
            one.expected = self.revision
            if one.phase == "settling":
                step = rules.settle(self.existing, one.claim)
                if isinstance(step, claims.NothingToWrite):
                    one.phase = "told"
            elif self.existing is not None:
                decision = rules.decide(self.existing, one.claim, True)
                if isinstance(decision, claims.AlreadyHeld):
                    self._run(one)
                elif not isinstance(decision, claims.Take):
                    one.phase = "told"

        @stateful.rule(index=strategies.integers(0, 5))
        def give_up(self, index: int) -> None:
            one = self._pick(index, "claiming")
            if one:
                self._settle(one, NOT_RUN)

        @stateful.precondition(lambda self: self.runs)
        @stateful.rule(
            index=strategies.integers(0, 5),
            outcome=strategies.sampled_from((LOST, model.completed())),
        )
        def end(self, index: int, outcome: model.Outcome) -> None:
            one = self._pick(index, "running")
            if one:
                self._settle(one, outcome)

        def _settle(self, one: Try, outcome: model.Outcome) -> None:
            one.claim = claims.conclude(one.claim, outcome)
            one.phase = "settling"
            one.write = None
            self._read(one)

        @stateful.rule(index=strategies.integers(0, 5))
        def die(self, index: int) -> None:
            one = self._pick(index, "claiming", "running", "settling")
            if one:
                one.phase = "gone"

        def teardown(self) -> None:
            # Everything arrives in the end, the latest writes first.
            for write in reversed(list(self.underway)):
                self._arrive(write)
            stale = self.existing
            if stale is None or stale.state is not claims.ClaimState.OPEN:
                return
            owner = [x for x in self.tries if x.claim.token == stale.token][0]
            if owner.phase == "told":
                raise BrokenPromise("a claim that nobody ever ends")

    return ClaimMachine


def search(rules: Rules) -> str:
    """Return the promise that some order of events breaks.

    :param rules: the rules.
    """
    return fuzz.search(machine(rules), BrokenPromise, EXAMPLES, STEPS)
