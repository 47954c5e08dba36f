"""The list of what is proved: docs/PROOFS.md and its check.

Explanation
===========

Each property of the brief and each of its failures is a subject. A proof
names the scenario that provokes a fault, and how that scenario failed before
its mechanism was there. The page is generated; a test compares it with the
committed one and looks every scenario up in its feature file, so that the
page cannot go stale.
"""

from wasabilanding.experiments.proofs.catalogue import PROOFS
from wasabilanding.experiments.proofs.page import render
from wasabilanding.experiments.proofs.proof import Proof
from wasabilanding.experiments.proofs.proof import scenario_exists
from wasabilanding.experiments.proofs.proof import Subject

__all__ = ["PROOFS", "Proof", "Subject", "render", "scenario_exists"]
