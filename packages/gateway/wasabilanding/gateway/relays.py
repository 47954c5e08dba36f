"""Requests that other nodes send to endpoints for this one.

Explanation
===========

Load pattern: one node, all nodes of a failure domain, or most of all nodes
are cut off from the endpoints for seconds, while callers and other nodes
reach them. Such a node hands each request to a node that is not cut off, of
its own failure domain first, which treats it as a caller's request and never
hands it on. Nodes of evacuated failure domains come last: if their failure
domain is cut off, they reach only endpoints that they must not use. What ran
and what did not is told in headers between the nodes:

============================= ==============================================
``wasabilanding-relayed-by``  name of the node that hands the request on
``wasabilanding-version``     version of its configuration, which the other
                              node must have reached
``wasabilanding-runs``        runs of the request so far
``wasabilanding-deposit``     "1" if the other node adds the request to its
                              retry budget, as this one has not or no more
``wasabilanding-verdict``     in a reply that the other node generates itself:
                              "not_run", "may_have_run", or "elsewhere" if it
                              has not run and a third node may be asked
``wasabilanding-reached``     beside "elsewhere": "1" if an endpoint has got
                              the request, so that the next attempt is a
                              repeat that is still to be charged
============================= ==============================================
"""

import collections.abc
import dataclasses
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import messages
from wasabilanding import model
from wasabilanding import routes

RELAYED_BY = b"wasabilanding-relayed-by"
VERSION = b"wasabilanding-version"
RUNS = b"wasabilanding-runs"
DEPOSIT = b"wasabilanding-deposit"
VERDICT = b"wasabilanding-verdict"
REACHED = b"wasabilanding-reached"
# Of all headers between nodes, including those of newer builds.
PREFIX = b"wasabilanding-"
NOT_RUN = b"not_run"
MAY_HAVE_RUN = b"may_have_run"
ELSEWHERE = b"elsewhere"
# Precedes the name of a node where the identity of an endpoint is expected.
MARK = "node:"
# Time for which a node counts as cut off after it has said so.
CUT_OFF_TTL_S = 1.5
# Longer numbers count as not given.
MAX_DIGITS = 17

Address = tuple[str, int]
Nodes = collections.abc.Mapping[str, Address]


@dataclasses.dataclass(frozen=True)
class RelayedRequest:
    """What another node says of a request that it hands on.

    :param node: name of the node.
    :param version: version of its configuration.
    :param runs: runs of the request so far.
    :param has_deposit: whether the request adds to the retry budget of the
        node that takes it. Builds that do not say it add to their own.
    """

    node: str
    version: int
    runs: int
    has_deposit: bool = False


@dataclasses.dataclass(frozen=True)
class RelayReply:
    """What a node says of a request that was handed to it.

    :param verdict: its verdict; empty if an endpoint has replied.
    :param runs: runs of the request in all.
    :param has_reached: whether an endpoint has got the request there, and no
        retry was charged for it.
    """

    verdict: bytes
    runs: int
    has_reached: bool = False


def is_relay(endpoint_id: str) -> bool:
    """Return whether an identity is that of a node, not of an endpoint.

    :param endpoint_id: the identity.
    """
    return endpoint_id.startswith(MARK)


def relay_endpoint(
    node: str, address: Address, service: str, failure_domain: str = ""
) -> fleet.Endpoint:
    """Return a node in the form of an endpoint.

    :param node: its name.
    :param address: address at which it takes requests of other nodes.
    :param service: service that the request is for.
    :param failure_domain: its failure domain.
    """
    return fleet.Endpoint(_identity(node), service, *address, failure_domain)


def _identity(node: str) -> str:
    """Return the identity of a node where that of an endpoint is expected."""
    return f"{MARK}{node}"


def _number(fields: dict[bytes, bytes], name: bytes) -> int:
    text = fields.get(name, b"")
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else 0


def read_request(
    headers: collections.abc.Iterable[messages.Header],
) -> RelayedRequest | None:
    """Decode what a node says of a request; None if it says nothing.

    :param headers: headers of the request, names in lower case.
    """
    fields = dict(headers)
    if RELAYED_BY not in fields:
        return None
    return RelayedRequest(
        fields[RELAYED_BY].decode("latin-1"),
        _number(fields, VERSION),
        _number(fields, RUNS),
        _number(fields, DEPOSIT) > 0,
    )


def request_headers(request: RelayedRequest) -> list[messages.Header]:
    """Encode what this node says of a request.

    :param request: the request.
    """
    return [
        (RELAYED_BY, request.node.encode()),
        (VERSION, str(request.version).encode()),
        (RUNS, str(request.runs).encode()),
        (DEPOSIT, str(int(request.has_deposit)).encode()),
    ]


def read_reply(
    headers: collections.abc.Iterable[messages.Header],
) -> RelayReply:
    """Decode what a node says in its reply.

    :param headers: headers of the reply, names in lower case.
    """
    fields = dict(headers)
    return RelayReply(
        fields.get(VERDICT, b""),
        _number(fields, RUNS),
        _number(fields, REACHED) > 0,
    )


def without_own(
    headers: collections.abc.Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Return headers without those between nodes.

    :param headers: headers, names in lower case.

    Examples
    ========

    >>> from wasabilanding.gateway import relays
    >>> newer = (b"wasabilanding-newer", b"1")
    >>> relays.without_own([(b"accept", b"*/*"), (relays.RUNS, b"1"), newer])
    ((b'accept', b'*/*'),)
    """
    return tuple(pair for pair in headers if not pair[0].startswith(PREFIX))


def outcome_of(
    reply: RelayReply, node: str, status: int, retry_after_s: float | None
) -> model.Outcome:
    """Return the outcome of a request that a node did not have answered.

    :param reply: what the node says.
    :param node: name of the node.
    :param status: HTTP status of its reply.
    :param retry_after_s: seconds after which the caller may come back; None
        if not given.
    """
    detail = f"{node} replied with {status}"
    if reply.verdict == ELSEWHERE and reply.has_reached:
        return model.not_run(model.Reason.REFUSED, detail)
    if reply.verdict == ELSEWHERE:
        return model.not_run(model.Reason.CONNECT_FAILED, detail)
    if reply.verdict == NOT_RUN:
        return model.not_run(model.Reason.NO_REPLICA, detail, retry_after_s)
    return model.may_have_run(model.Reason.CONNECTION_LOST, detail)


class Relays:
    """The nodes to which this one may hand requests.

    :param failure_domain: failure domain of this node.
    :param tracker: which nodes have failed lately.
    :param rng: random number generator.
    :param regions: regions of the failure domains.
    """

    def __init__(
        self,
        failure_domain: str,
        tracker: dispatch.EndpointTracker,
        rng: random.Random,
        regions: routes.RegionMap | None = None,
    ) -> None:
        self._regions = regions or routes.RegionMap()
        self._failure_domain = failure_domain
        self._tracker = tracker
        self._rng = rng
        # Names and addresses of the other nodes, by failure domain.
        self.nodes: collections.abc.Callable[
            [], collections.abc.Mapping[str, Nodes]
        ] = lambda: {}
        # Returns whether a failure domain is evacuated.
        self.is_evacuated: collections.abc.Callable[[str], bool] = (
            lambda failure_domain: False
        )
        self._cut_off_until: dict[str, float] = {}

    def record_cut_off(self, node: str, now: float) -> None:
        """Record that a node says that it is cut off itself.

        :param node: name of the node.
        :param now: local monotonic time in seconds.
        """
        self._cut_off_until[node] = now + CUT_OFF_TTL_S

    def choose(
        self,
        service: str,
        tried: collections.abc.Container[str],
        allowed: routes.AllowedRegions = None,
    ) -> fleet.Endpoint | None:
        """Return a node for a request, in the form of an endpoint.

        :param service: service that the request is for.
        :param tried: identities that the request was sent to.
        :param allowed: regions that the request may use; None for all.
        :returns: one of the available nodes; None for none.
        """
        nodes = self.available(tried, allowed)
        if not nodes:
            return None
        name = self._rng.choice(list(nodes))
        domain = next(
            domain
            for domain, members in self.nodes().items()
            if name in members and self._regions.allows_node(domain, allowed)
        )
        return relay_endpoint(name, nodes[name], service, domain)

    def available(
        self,
        tried: collections.abc.Container[str] = (),
        allowed: routes.AllowedRegions = None,
    ) -> Nodes:
        """Return the nodes that may take a request.

        :param tried: identities that the request was sent to.
        :param allowed: regions that the request may use; None for all.
        :returns: nodes of this failure domain, else those of the others;
            those of evacuated ones last.
        """
        found: dict[tuple[bool, bool], dict[str, Address]] = {}
        for domain, nodes in self.nodes().items():
            if not self._regions.allows_node(domain, allowed):
                continue
            order = self.is_evacuated(domain), domain != self._failure_domain
            group = found.setdefault(order, {})
            for name, address in nodes.items():
                if self._may_take(name, tried):
                    group[name] = address
        return next((found[o] for o in sorted(found) if found[o]), {})

    def _may_take(
        self, node: str, tried: collections.abc.Container[str]
    ) -> bool:
        now = trio.current_time()
        identity = _identity(node)
        if identity in tried:
            return False
        if self._cut_off_until.get(node, now) > now:
            return False
        # A node is not registered, so that its start is not known.
        node_start = fleet.Incarnation(identity, 0)
        return self._tracker.record(node_start).avoid_until <= now
