"""Shared, immutable types: profiles, replicas, reports and outcomes.

Explanation

The other packages exchange these types. They have no behaviour beyond small
derived values and perform no input or output.

See Also

wasabilanding.configuration : the operators' document, which contains profiles.
wasabilanding.placement : decisions about replicas.
"""

from wasabilanding.model.codec import decode
from wasabilanding.model.codec import decode_entry
from wasabilanding.model.codec import decode_value
from wasabilanding.model.codec import encode
from wasabilanding.model.codec import InvalidDocument
from wasabilanding.model.codec import InvalidEntry
from wasabilanding.model.codec import json_schema
from wasabilanding.model.codec import Mistake
from wasabilanding.model.independent_parts import decode_parts
from wasabilanding.model.independent_parts import Each
from wasabilanding.model.independent_parts import PartPath
from wasabilanding.model.outcomes import completed
from wasabilanding.model.outcomes import may_have_run
from wasabilanding.model.outcomes import not_run
from wasabilanding.model.outcomes import Outcome
from wasabilanding.model.outcomes import Reason
from wasabilanding.model.outcomes import Verdict
from wasabilanding.model.profiles import Name
from wasabilanding.model.profiles import PlainProfile
from wasabilanding.model.profiles import Profile
from wasabilanding.model.profiles import ReplicaProfile
from wasabilanding.model.quantities import Count
from wasabilanding.model.quantities import MAX_PORT
from wasabilanding.model.quantities import MAX_WHOLE_NUMBER
from wasabilanding.model.quantities import Quantity
from wasabilanding.model.quantities import rounded_down
from wasabilanding.model.quantities import rounded_up
from wasabilanding.model.readable_json import readable
from wasabilanding.model.replicas import DomainRecord
from wasabilanding.model.replicas import NO_REPLICA_KEY
from wasabilanding.model.replicas import ReplicaKey
from wasabilanding.model.replicas import ReplicaRecord
from wasabilanding.model.replicas import ReplicaState
from wasabilanding.model.reports import Vm
from wasabilanding.model.reports import VmReport
from wasabilanding.model.reports import VmState
from wasabilanding.model.store_revision import Era
from wasabilanding.model.store_revision import NO_ERA
from wasabilanding.model.store_revision import read_era
from wasabilanding.model.store_revision import StoreRevision

__all__ = [
    "Count",
    "DomainRecord",
    "Each",
    "Era",
    "InvalidDocument",
    "InvalidEntry",
    "MAX_PORT",
    "MAX_WHOLE_NUMBER",
    "Mistake",
    "NO_ERA",
    "NO_REPLICA_KEY",
    "Name",
    "Outcome",
    "ReplicaKey",
    "PartPath",
    "PlainProfile",
    "Profile",
    "Quantity",
    "Reason",
    "ReplicaProfile",
    "ReplicaRecord",
    "ReplicaState",
    "StoreRevision",
    "Verdict",
    "Vm",
    "VmReport",
    "VmState",
    "completed",
    "decode",
    "decode_entry",
    "decode_parts",
    "decode_value",
    "encode",
    "json_schema",
    "may_have_run",
    "not_run",
    "readable",
    "rounded_down",
    "rounded_up",
    "read_era",
]
