"""Knowledge: what one node knows of the whole system.

Explanation
===========

Documents (the configuration, the record and the VM list of each failure
domain) carry a revision; a node only ever goes on to a higher one. Reports
of VMs carry the local time of their observation; the youngest one counts.
Both rules are commutative and idempotent, so nodes may exchange what they
know in any order and as often as they like.
"""

from wasabilanding.knowledge.book import Knowledge
from wasabilanding.knowledge.book import VmListing

__all__ = ["Knowledge", "VmListing"]
