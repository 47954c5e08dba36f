"""State machine of submissions with one key to a compare-and-swap store.

A write is pending until it arrives at the store. By then its sender may have
abandoned it, be paused or have crashed. In any order of events, at most one
submission may run.
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


class PropertyViolated(AssertionError):
    """A property of claims is violated."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """Rules under test; each mutant changes one rule.

    :param compares: whether the store compares revisions.
    :param decide: rule for an existing claim.
    :param settle: rule for the final state of a claim.
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
class Submission:
    """One submission with the key.

    :param claim: claim that it writes.
    :param phase: claiming, running, settling, answered or gone.
    :param expected: revision that its next write expects.
    :param write: its pending write, or None.
    """

    claim: claims.Claim
    phase: str = "claiming"
    expected: int = 0
    write: "Write | None" = None


@dataclasses.dataclass(eq=False)
class Write:
    """A pending write, which arrives once at any later time."""

    claim: claims.Claim
    expected: int
    taken: bool | None = None


def machine(rules: Rules) -> type[stateful.RuleBasedStateMachine]:
    """Return the state machine under the given rules."""

    class ClaimMachine(stateful.RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.stored: claims.Claim | None = None
            self.revision = 0
            self.submissions: list[Submission] = []
            self.pending: list[Write] = []
            self.runs = 0

        def _arrive(self, write: Write) -> None:
            self.pending.remove(write)
            write.taken = not rules.compares or write.expected == self.revision
            if write.taken:
                self.revision += 1
                self.stored = write.claim

        def _run(self, submission: Submission) -> None:
            submission.phase = "running"
            self.runs += 1
            if self.runs > 1:
                raise PropertyViolated("a request that ran twice")

        def _pick(self, index: int, *phases: str) -> Submission | None:
            ready = [x for x in self.submissions if x.phase in phases]
            return ready[index % len(ready)] if ready else None

        @stateful.rule()
        def begin(self) -> None:
            if len(self.submissions) < 6:
                token = f"t{len(self.submissions)}"
                claim = claims.begin(token, "node", 1, BODY)
                self.submissions.append(Submission(claim))

        @stateful.rule(index=strategies.integers(0, 5))
        def send(self, index: int) -> None:
            submission = self._pick(index, "claiming", "settling")
            if submission and submission.write is None:
                submission.write = Write(submission.claim, submission.expected)
                self.pending.append(submission.write)

        @stateful.rule(index=strategies.integers(0, 5))
        def exchange(self, index: int) -> None:
            """Send a write and receive its answer without a fault."""
            self.send(index)
            submission = self._pick(index, "claiming", "settling")
            if submission and submission.write in self.pending:
                self._arrive(submission.write)
            self.hear(index)

        @stateful.precondition(lambda self: self.pending)
        @stateful.rule(index=strategies.integers(0, 9))
        def arrive(self, index: int) -> None:
            if self.pending:
                self._arrive(self.pending[index % len(self.pending)])

        @stateful.rule(index=strategies.integers(0, 5))
        def hear(self, index: int) -> None:
            submission = self._pick(index, "claiming", "settling")
            if (
                submission is None
                or submission.write is None
                or submission.write.taken is None
            ):
                return
            taken, submission.write = submission.write.taken, None
            if not taken:
                self._read(submission)
            elif submission.phase == "claiming":
                self._run(submission)
            else:
                submission.phase = "answered"

        @stateful.precondition(
            lambda self: any(x.write for x in self.submissions)
        )
        @stateful.rule(index=strategies.integers(0, 5))
        def lose_answer(self, index: int) -> None:
            submission = self._pick(index, "claiming", "settling")
            if submission and submission.write is not None:
                submission.write = None
                self._read(submission)

        def _read(self, submission: Submission) -> None:
            submission.expected = self.revision
            if submission.phase == "settling":
                step = rules.settle(self.stored, submission.claim)
                if isinstance(step, claims.NothingToWrite):
                    submission.phase = "answered"
            elif self.stored is not None:
                decision = rules.decide(self.stored, submission.claim, True)
                if isinstance(decision, claims.AlreadyHeld):
                    self._run(submission)
                elif not isinstance(decision, claims.Take):
                    submission.phase = "answered"

        @stateful.rule(index=strategies.integers(0, 5))
        def give_up(self, index: int) -> None:
            submission = self._pick(index, "claiming")
            if submission:
                self._settle(submission, NOT_RUN)

        @stateful.precondition(lambda self: self.runs)
        @stateful.rule(
            index=strategies.integers(0, 5),
            outcome=strategies.sampled_from((LOST, model.completed())),
        )
        def end(self, index: int, outcome: model.Outcome) -> None:
            submission = self._pick(index, "running")
            if submission:
                self._settle(submission, outcome)

        def _settle(
            self, submission: Submission, outcome: model.Outcome
        ) -> None:
            submission.claim = claims.conclude(submission.claim, outcome)
            submission.phase = "settling"
            submission.write = None
            self._read(submission)

        @stateful.rule(index=strategies.integers(0, 5))
        def die(self, index: int) -> None:
            submission = self._pick(index, "claiming", "running", "settling")
            if submission:
                submission.phase = "gone"

        def teardown(self) -> None:
            # All pending writes arrive, the latest first.
            for write in reversed(list(self.pending)):
                self._arrive(write)
            stale = self.stored
            if stale is None or stale.state is not claims.ClaimState.OPEN:
                return
            owner = [
                x for x in self.submissions if x.claim.token == stale.token
            ][0]
            if owner.phase == "answered":
                raise PropertyViolated("a claim that nobody ever ends")

    return ClaimMachine


def search(rules: Rules) -> str:
    """Return the property that some order of events violates.

    :param rules: the rules.
    """
    return fuzz.search(machine(rules), PropertyViolated, EXAMPLES, STEPS)
