"""Subjects of the brief and proofs about them."""

import dataclasses
import enum
import pathlib
import re


class Subject(enum.Enum):
    """A property or a failure of the brief."""

    WHOLE = "No replica serves while any of its VMs is missing"
    ONE_PLACE = "No VM belongs to two replicas at once"
    OWN_ANSWER = (
        "Every caller receives the whole answer to its own request, and only "
        "that, even when answers arrive late or out of order"
    )
    NOT_RUN = "When a caller is told a request was not run, it was not run"
    AT_MOST_ONCE = "A non-idempotent request runs at most once"
    LEAVING = (
        "An endpoint that is leaving receives no new work after a few seconds"
    )
    GRACEFUL = "Every planned stop cuts no request in flight"
    IN_FORCE = (
        "An accepted configuration is in force everywhere within seconds and "
        "never reverts"
    )
    VM_DIES = "A VM dies"
    VM_PAUSES = "A VM pauses"
    STRAGGLER = "A VM becomes a straggler"
    VM_RETURNS = "A VM comes back as if nothing happened"
    FABRIC_LOST = "A whole fabric domain goes dark"
    PEERS_CUT = "Failure domains are cut off from each other"
    STORE_CUT = "A failure domain is cut off from the platform"
    STORE_DOWN = "The store is down for long"
    STORE_SLOW = "The store is slow for long"
    ANSWER_LOST = "A store's answer is lost after the write took effect"
    LEASE_LAPSED = "A lease lapses while its holder is paused"
    OPERATORS_RACE = "Operators race one another"
    POISONED = "A request crashes each endpoint that runs it and is sent again"
    SILENT = "Open connections go silent for good while new ones work"
    COMBINED = "Several failures together, or twice"


FAILURES_FROM = Subject.VM_DIES


@dataclasses.dataclass(frozen=True)
class Proof:
    """One proof.

    :param subjects: what it is about.
    :param feature: feature file, as a path in the repository.
    :param scenario: name of the scenario.
    :param fault: the fault that it provokes.
    :param failed_first: how it failed without its mechanism.
    """

    subjects: tuple[Subject, ...]
    feature: str
    scenario: str
    fault: str
    failed_first: str


def scenario_exists(root: pathlib.Path, proof: Proof) -> bool:
    """Tell whether the scenario of a proof is in its feature file.

    :param root: root of the repository.
    :param proof: the proof.
    """
    path = root / proof.feature
    if not path.exists():
        return False
    name = re.escape(proof.scenario)
    pattern = rf"^\s*Scenario(?: Outline)?: {name}\s*$"
    return re.search(pattern, path.read_text(), re.MULTILINE) is not None
