"""Regions in which the endpoints of a request may be.

Explanation
===========

A route and a customer may each name allowed regions. Where both do, only
regions that both name are allowed, so that the restriction of one never
widens that of the other. A set without any region allows no endpoint; None
stands for no restriction.

A region comprises failure domains. What is not known to be in a region is in
none, and is thus allowed only to requests without a restriction.
"""

import collections.abc
import dataclasses
import functools

from wasabilanding.routes import table as table_module

AllowedRegions = frozenset[str] | None
# Region of failure domains whose region is not known.
NO_REGION = ""


def effective_regions(
    of_route: AllowedRegions, of_customer: AllowedRegions
) -> AllowedRegions:
    """Return the regions that a request may use.

    :param of_route: regions that its route allows; None for all.
    :param of_customer: regions that its customer allows; None for all.

    Examples
    ========

    >>> from wasabilanding import routes
    >>> sorted(routes.effective_regions({"eu", "us"}, {"eu", "asia"}))
    ['eu']
    >>> routes.effective_regions(frozenset({"eu"}), None)
    frozenset({'eu'})
    >>> routes.effective_regions(frozenset({"eu"}), frozenset({"us"}))
    frozenset()
    """
    if of_route is None:
        return of_customer
    if of_customer is None:
        return of_route
    return of_route & of_customer


@dataclasses.dataclass(frozen=True)
class RegionMap:
    """The regions of failure domains, as one node knows them.

    :param own: region of the node; empty if unknown.
    :param failure_domain: failure domain of the node.
    :param by_domain: region of each failure domain. If the node's own is
        missing, it is in the node's region.

    Examples
    ========

    >>> from wasabilanding import routes
    >>> found = routes.RegionMap("eu", "z1", {"z2": "us"})
    >>> found.allows("z1", {"eu"}), found.allows("z3", {"eu"})
    (True, False)
    """

    own: str = NO_REGION
    failure_domain: str = ""
    by_domain: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain; empty if unknown.

        :param failure_domain: its name.
        """
        found = self.by_domain.get(failure_domain, NO_REGION)
        if not found and failure_domain == self.failure_domain:
            return self.own
        return found

    @functools.cached_property
    def callers_region(self) -> str:
        """Region of callers that are connected to this node."""
        return self.own or self.region_of(self.failure_domain)

    @functools.cached_property
    def known(self) -> frozenset[str]:
        """All regions that are known."""
        return frozenset((self.own, *self.by_domain.values())) - {NO_REGION}

    def allows(self, failure_domain: str, allowed: AllowedRegions) -> bool:
        """Return whether a request may reach endpoints in a failure domain.

        :param failure_domain: its name.
        :param allowed: regions that the request may use; None for all.
        """
        if allowed is None:
            return True
        region = self.region_of(failure_domain)
        return region != NO_REGION and region in allowed

    def allows_node(
        self, failure_domain: str, allowed: AllowedRegions
    ) -> bool:
        """Return whether a request's body may be sent to another node.

        It may also reach the region of the node that the caller has chosen.

        :param failure_domain: failure domain of the other node.
        :param allowed: regions that the request may use; None for all.
        """
        if self.allows(failure_domain, allowed):
            return True
        region = self.region_of(failure_domain)
        return region != NO_REGION and region == self.callers_region


def without_known_region(
    table: table_module.RoutingTable, known: frozenset[str]
) -> tuple[str, ...]:
    """Return what allows none but unknown regions, and thus no endpoint.

    :param table: the routing table.
    :param known: all known regions.
    :returns: routes and customers, with the regions that they name.
    """
    entries = [(f"route {r.name}", r.allowed_regions) for r in table.routes]
    entries += [
        (f"customer {holder.customer}", holder.allowed_regions)
        for holder in table.key_holders or ()
    ]
    return tuple(
        f"{name} ({', '.join(sorted(allowed))})"
        for name, allowed in entries
        if allowed is not None and allowed.isdisjoint(known)
    )
