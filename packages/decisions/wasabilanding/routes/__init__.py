"""Routing table: maps requests to services and keys to customers.

Explanation
===========

A request is matched to a route by its host and the longest prefix of its
path. The route states whether the request may be retried, how long an answer
may take and how requests are split between services. The key in a request
identifies the customer. A table is immutable: a new version of the
configuration is a new table, and a request keeps the table that it started
with.
"""

from wasabilanding.routes.regions import AllowedRegions
from wasabilanding.routes.regions import effective_regions
from wasabilanding.routes.regions import NO_REGION
from wasabilanding.routes.regions import RegionMap
from wasabilanding.routes.regions import without_known_region
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
    "NO_REGION",
    "AllowedRegions",
    "CallerLimits",
    "EngineSpec",
    "KeyHolder",
    "ModelSpec",
    "RegionMap",
    "RequestKind",
    "Route",
    "RoutedService",
    "RoutingTable",
    "Target",
    "choose_target",
    "effective_regions",
    "without_known_region",
]
