"""The routing table: which requests go to which service, and for whom.

Explanation
===========

A request finds its route by host and longest prefix of its path. The route
says what may be repeated, how long an answer may take and which services
take its share. A key that a caller shows resolves to the customer that
holds it. A table is immutable: a new version of the configuration is a new
table, and a request keeps the one it began with.
"""

from wasabilanding.routes.table import CallerLimits
from wasabilanding.routes.table import choose_target
from wasabilanding.routes.table import EngineSpec
from wasabilanding.routes.table import KeyHolder
from wasabilanding.routes.table import ModelSpec
from wasabilanding.routes.table import RequestKind
from wasabilanding.routes.table import Route
from wasabilanding.routes.table import RoutedService
from wasabilanding.routes.table import RoutingTable
from wasabilanding.routes.table import Target

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "KeyHolder",
    "ModelSpec",
    "RequestKind",
    "Route",
    "RoutedService",
    "RoutingTable",
    "Target",
    "choose_target",
]
