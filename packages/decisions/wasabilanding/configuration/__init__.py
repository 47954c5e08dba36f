"""The operators' configuration: one versioned document.

Explanation
===========

All profiles, the profile choice of each service and the customers are in one
document under one key of the platform's store, so that a change is accepted
by a single compare-and-swap and the store's revision orders all changes. A
node never applies a lower revision. A rollback writes a new, higher revision
with an earlier content.
"""

from wasabilanding.configuration.changes import ChangeRefused
from wasabilanding.configuration.changes import choose_profile
from wasabilanding.configuration.changes import put_profile
from wasabilanding.configuration.changes import roll_back
from wasabilanding.configuration.changes import set_customer
from wasabilanding.configuration.document import Configuration
from wasabilanding.configuration.document import Customer
from wasabilanding.configuration.document import KEPT_WRITERS
from wasabilanding.configuration.document import MAX_DOCUMENT_BYTES
from wasabilanding.configuration.document import ProfileHistory
from wasabilanding.configuration.document import ProfileRevision
from wasabilanding.configuration.document import ServiceChoice
from wasabilanding.configuration.document import supersedes

__all__ = [
    "ChangeRefused",
    "Configuration",
    "Customer",
    "KEPT_WRITERS",
    "MAX_DOCUMENT_BYTES",
    "ProfileHistory",
    "ProfileRevision",
    "ServiceChoice",
    "choose_profile",
    "put_profile",
    "roll_back",
    "set_customer",
    "supersedes",
]
