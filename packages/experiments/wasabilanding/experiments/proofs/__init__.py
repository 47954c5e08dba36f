"""Catalogue of the tests that prove required properties.

Explanation
===========

A subject is a property that the requirements name, or a failure. A proof
names a scenario that provokes a fault, and how this scenario fails without the
mechanism under test. The page docs/PROOFS.md is generated from the
catalogue. A test compares it with the committed page and looks up every
scenario in its feature file, so that the page stays up to date.
"""

from wasabilanding.experiments.proofs.catalogue import PROOFS
from wasabilanding.experiments.proofs.page import render
from wasabilanding.experiments.proofs.proof import Proof
from wasabilanding.experiments.proofs.proof import scenario_exists
from wasabilanding.experiments.proofs.proof import Subject

__all__ = ["PROOFS", "Proof", "Subject", "render", "scenario_exists"]
