"""Membership: which nodes are there and what they have observed."""

from wasabilanding.membership.table import MemberTable
from wasabilanding.membership.table import Node
from wasabilanding.membership.table import owner_of
from wasabilanding.membership.table import SUSPECT_AFTER_S

__all__ = ["MemberTable", "Node", "SUSPECT_AFTER_S", "owner_of"]
