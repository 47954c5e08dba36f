"""Required properties, failures, and the proofs for them."""

import dataclasses
import enum
import pathlib
import re


class Subject(enum.Enum):
    """A property or a failure that the requirements name."""

    COMPLETE_REPLICAS = "No replica serves while any of its VMs is missing"
    EXCLUSIVE_MEMBERSHIP = "No VM belongs to two replicas at once"
    CORRECT_ANSWER = (
        "Every caller receives the whole answer to its own request, and only "
        "that, even when answers arrive late or out of order"
    )
    NOT_RUN = "When a caller is told a request was not run, it was not run"
    AT_MOST_ONCE = "A non-idempotent request runs at most once"
    LEAVING_ENDPOINT = (
        "An endpoint that is leaving receives no new work after a few seconds"
    )
    GRACEFUL_STOP = "Every planned stop cuts no request in flight"
    CONFIGURATION_IN_FORCE = (
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
    LEASE_EXPIRED = "A lease lapses while its holder is paused"
    OPERATORS_RACE = "Operators race one another"
    POISONOUS_REQUEST = (
        "A request crashes each endpoint that runs it and is sent again"
    )
    SILENT_CONNECTIONS = (
        "Open connections go silent for good while new ones work"
    )
    COMBINED_FAILURES = "Several failures together, or twice"


FIRST_FAILURE = Subject.VM_DIES


@dataclasses.dataclass(frozen=True)
class Proof:
    """One proof.

    :param subjects: properties and failures that the scenario covers.
    :param feature: path of the feature file in the repository.
    :param scenario: title of the scenario.
    :param fault: description of the fault that the scenario provokes.
    :param failure_without: how the scenario fails without the mechanism under
        test.
    """

    subjects: tuple[Subject, ...]
    feature: str
    scenario: str
    fault: str
    failure_without: str


def scenario_exists(root: pathlib.Path, proof: Proof) -> bool:
    """Return whether the feature file of a proof has its scenario.

    :param root: root of the repository.
    :param proof: the proof.
    """
    path = root / proof.feature
    if not path.exists():
        return False
    name = re.escape(proof.scenario)
    pattern = rf"^\s*Scenario(?: Outline)?: {name}\s*$"
    return re.search(pattern, path.read_text(), re.MULTILINE) is not None
