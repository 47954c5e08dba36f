"""The platform: its key-value service, leases, watches and VM list.

Explanation
===========

Every call ends in a tagged result. A write whose answer was lost ends in
:class:`Unknown`: it may have taken effect, and the caller has to read back
a writer token to find out. All calls of a node share one back-off
(:mod:`wasabilanding.platform.backoff`).
"""

from wasabilanding.platform.client import LeaseGranted
from wasabilanding.platform.client import PlatformClient
from wasabilanding.platform.client import ReadResult
from wasabilanding.platform.client import VmList
from wasabilanding.platform.documents import accept_change
from wasabilanding.platform.documents import CONFIGURATION_KEY
from wasabilanding.platform.documents import control_key
from wasabilanding.platform.documents import decode_configuration
from wasabilanding.platform.documents import read_configuration
from wasabilanding.platform.documents import read_record
from wasabilanding.platform.documents import write_record
from wasabilanding.platform.results import Conflict
from wasabilanding.platform.results import Entry
from wasabilanding.platform.results import Missing
from wasabilanding.platform.results import Unavailable
from wasabilanding.platform.results import Unknown
from wasabilanding.platform.results import Written

__all__ = [
    "CONFIGURATION_KEY",
    "Conflict",
    "Entry",
    "LeaseGranted",
    "Missing",
    "PlatformClient",
    "ReadResult",
    "Unavailable",
    "Unknown",
    "VmList",
    "Written",
    "accept_change",
    "control_key",
    "decode_configuration",
    "read_configuration",
    "read_record",
    "write_record",
]
