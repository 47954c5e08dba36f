"""Client of the platform: key-value store, leases, watches and VM list.

Explanation
===========

Every call returns a result whose type tells how it ended. A write without a
response returns :class:`Unknown`: it may have taken effect, and the caller
has to read back its writer token to find out. All calls of a node share one
back-off (:mod:`wasabilanding.metadata.backoff`).
"""

from wasabilanding.metadata.answers import CallOutcome
from wasabilanding.metadata.answers import decode_body
from wasabilanding.metadata.answers import decode_written
from wasabilanding.metadata.answers import has_status
from wasabilanding.metadata.calls import BackoffSession
from wasabilanding.metadata.calls import Count
from wasabilanding.metadata.calls import count_nothing
from wasabilanding.metadata.calls import ignore_era
from wasabilanding.metadata.calls import LAPSED
from wasabilanding.metadata.calls import NoteEra
from wasabilanding.metadata.client import LeaseGranted
from wasabilanding.metadata.client import PlatformClient
from wasabilanding.metadata.client import ReadResult
from wasabilanding.metadata.client import VmList
from wasabilanding.metadata.documents import accept_change
from wasabilanding.metadata.documents import CONFIGURATION_KEY
from wasabilanding.metadata.documents import control_key
from wasabilanding.metadata.documents import decode_configuration
from wasabilanding.metadata.documents import read_configuration
from wasabilanding.metadata.documents import read_record
from wasabilanding.metadata.documents import write_record
from wasabilanding.metadata.eras import EraTracker
from wasabilanding.metadata.items import ERA_HEADER
from wasabilanding.metadata.items import ItemBody
from wasabilanding.metadata.items import ItemsBody
from wasabilanding.metadata.items import ItemStore
from wasabilanding.metadata.items import WritesBody
from wasabilanding.metadata.results import Changes
from wasabilanding.metadata.results import Conflict
from wasabilanding.metadata.results import Entry
from wasabilanding.metadata.results import HistoryLost
from wasabilanding.metadata.results import Item
from wasabilanding.metadata.results import Lease
from wasabilanding.metadata.results import Listing
from wasabilanding.metadata.results import Missing
from wasabilanding.metadata.results import Removal
from wasabilanding.metadata.results import Unavailable
from wasabilanding.metadata.results import Unknown
from wasabilanding.metadata.results import WriteResult
from wasabilanding.metadata.results import Written

__all__ = [
    "BackoffSession",
    "CONFIGURATION_KEY",
    "CallOutcome",
    "Changes",
    "Conflict",
    "Count",
    "ERA_HEADER",
    "Entry",
    "EraTracker",
    "HistoryLost",
    "Item",
    "ItemBody",
    "ItemStore",
    "ItemsBody",
    "LAPSED",
    "Lease",
    "LeaseGranted",
    "Listing",
    "Missing",
    "NoteEra",
    "PlatformClient",
    "ReadResult",
    "Removal",
    "Unavailable",
    "Unknown",
    "VmList",
    "WriteResult",
    "WritesBody",
    "Written",
    "accept_change",
    "control_key",
    "count_nothing",
    "decode_body",
    "decode_written",
    "decode_configuration",
    "has_status",
    "ignore_era",
    "read_configuration",
    "read_record",
    "write_record",
]
