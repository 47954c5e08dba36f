"""The project's own wire format of callers, endpoints and the store.

Documents are the project's types as JSON. Headers of a request:

============================ ===============================================
``x-request``                identifier of this submission
``x-deadline-s``             seconds until the deadline
``x-key``                    API key of the caller; never forwarded
``x-model``                  requested model
``x-prompt-tokens``          length of the prompt in tokens
``x-max-tokens``             limit on the answer's length in tokens
``x-resumes-after``          number of the last event that the caller received
``x-endpoint``               intended endpoint
``x-customer``               customer that the key belongs to
``x-prompt-parts``           parts of the prompt in order, separated by commas:
                             identity in hexadecimal, colon, tokens. Requests
                             may share all but the last one
============================ ===============================================

An endpoint's reply repeats ``x-request``. ``x-not-run`` states that the
request did not run, and ``x-events`` that the body is a stream of events.
Any reply, also to orders, may have ``x-leaving: 1``, which announces the
endpoint's shutdown, and with status 503 ``retry-after``: the endpoint wants no
other request from this node for so many seconds. ``x-limit`` names the
requests a second that the endpoint takes from all nodes together, and
``x-cold-s`` the seconds for which it stays cold, 0 if it is not.
"""

import dataclasses
import ipaddress

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding.gateway import cold_left
from wasabilanding.gateway import headers as headers_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import named_limit
from wasabilanding.gateway import retry_after
from wasabilanding import model
from wasabilanding import routes

configuration_key = "configuration"
registrations_prefix = "endpoints/"
internal_prefix = "own/"
evacuation_prefix = "evacuations/"

HTTP_ERROR = 400
HTTP_MISDIRECTED = 421
LEAVING = b"x-leaving"
LEAVING_YES = b"1"
LIMIT = b"x-limit"
COLD = b"x-cold-s"
PARTS = b"x-prompt-parts"
# What replies say about their endpoint is not forwarded.
NOTICES = (LEAVING, LIMIT, COLD)
# Headers that the node sets or removes, so the caller's are not forwarded.
OWN_HEADERS = frozenset(
    (
        b"host",
        b"x-customer",
        b"x-deadline-s",
        b"x-endpoint",
        b"x-key",
        b"x-request",
        b"x-resumes-after",
    )
)


@dataclasses.dataclass(frozen=True)
class OrderBody:
    """An order to an endpoint.

    :param kind: "join", "open", "close", "leave" or "stage".
    :param replica: identity of the replica; empty for a stage.
    :param epoch: epoch of the replica.
    :param model: model to load; empty for none.
    :param members: identities of a join's members, the head first.
    :param at_once: whether a close aborts running requests.
    """

    kind: str
    replica: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    at_once: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """An endpoint's report on itself.

    :param membership: its membership of a replica; None for none.
    """

    membership: fleet.Membership | None = None


def _parse_number(
    fields: dict[bytes, str], name: bytes, kind: type[int] | type[float]
) -> int | float | None:
    text = fields.get(name)
    if text is None:
        return None
    try:
        return kind(text)
    except ValueError:
        raise messages.InvalidHead(
            f"header {name.decode()}: {text!r} is not a number"
        ) from None


def _parse_count(fields: dict[bytes, str], name: bytes) -> int:
    """Return a number that is not negative; 0 if it is not given."""
    return max(_parse_number(fields, name, int) or 0, 0)


def read_request(head: messages.RequestHead) -> messages.CallerRequest:
    """Decode the head of a caller's request.

    :param head: the head.
    :raises wasabilanding.gateway.InvalidHead: if a header is malformed.
    """
    fields = {name: value.decode("latin-1") for name, value in head.headers}
    forwarded = headers_module.end_to_end(head.headers)
    return messages.CallerRequest(
        request_id=fields.get(b"x-request", ""),
        host=fields.get(b"host", "").partition(":")[0].lower(),
        deadline_s=_parse_number(fields, b"x-deadline-s", float),
        key=fields.get(b"x-key"),
        resumes_after=_parse_number(fields, b"x-resumes-after", int),
        model=fields.get(b"x-model", ""),
        prompt_tokens=_parse_count(fields, b"x-prompt-tokens"),
        max_output_tokens=_parse_count(fields, b"x-max-tokens"),
        expected_output_tokens=0,
        headers=tuple(h for h in forwarded if h[0] not in OWN_HEADERS),
        prompt_parts=fields.get(PARTS, ""),
    )


def answer_headers(request: messages.CallerRequest) -> list[messages.Header]:
    """Return the headers that every answer to a request has.

    :param request: the request.
    """
    return [(b"x-request", request.request_id.encode("latin-1"))]


def request_headers(
    request: messages.CallerRequest, parameters: messages.AttemptParameters
) -> list[messages.Header]:
    """Return the headers of a request to an endpoint.

    :param request: the caller's request.
    :param parameters: parameters of the attempt.
    """
    return [
        *request.headers,
        *answer_headers(request),
        (b"x-endpoint", parameters.endpoint.endpoint_id.encode()),
        (b"x-customer", parameters.customer.encode()),
        *_progress_headers(parameters.remaining_s, parameters.resumes_after),
    ]


def _progress_headers(
    remaining_s: float, resumes_after: int | None
) -> list[messages.Header]:
    """Return the headers that change between the attempts of a request."""
    headers = [(b"x-deadline-s", f"{remaining_s:.3f}".encode())]
    if resumes_after is not None:
        headers.append((b"x-resumes-after", str(resumes_after).encode()))
    return headers


def relay_headers(
    head: messages.RequestHead, remaining_s: float, resumes_after: int | None
) -> list[messages.Header]:
    """Return the headers of a caller's request that another node serves.

    :param head: head of the request.
    :param remaining_s: seconds left until the deadline.
    :param resumes_after: number of the event after which to resume a stream;
        None to start from the beginning.
    """
    changed = _progress_headers(remaining_s, resumes_after)
    return headers_module.replaced(head.headers, changed)


def read_reply(
    request: messages.CallerRequest,
    status: int,
    headers: list[messages.Header],
    is_first: bool = True,
) -> messages.ReplyHead:
    """Decode the head of an endpoint's reply.

    :param request: the request that was sent.
    :param status: HTTP status.
    :param headers: its headers, names in lower case.
    :param is_first: whether it is the first reply on its connection; of no
        account here, as each reply names its request.
    """
    fields = dict(headers)
    kind = messages.ReplyKind.ANSWER
    echoed = {value for name, value in headers if name == b"x-request"}
    if echoed != {request.request_id.encode("latin-1")}:
        kind = messages.ReplyKind.MISMATCHED
    elif b"x-not-run" in fields:
        kind = messages.ReplyKind.NOT_RUN
    elif status >= HTTP_ERROR:
        kind = messages.ReplyKind.FAILURE
    return messages.ReplyHead(
        kind=kind,
        status=status,
        headers=tuple(
            pair
            for pair in headers_module.end_to_end(headers)
            if pair[0] not in NOTICES
        ),
        is_events=b"x-events" in fields,
        is_misdirected=status == HTTP_MISDIRECTED,
    )


def read_notice(
    status: int, headers: list[messages.Header]
) -> messages.EndpointNotice:
    """Decode what the head of any reply says about the endpoint.

    :param status: HTTP status.
    :param headers: its headers, names in lower case.
    """
    retry_after_s, invalid_retry_after = retry_after.read_retry_after(
        status, headers
    )
    return messages.EndpointNotice(
        (LEAVING, LEAVING_YES) in headers,
        retry_after_s,
        invalid_retry_after,
        *named_limit.read_limit(LIMIT, headers),
        *cold_left.read_cold_left(COLD, headers),
        names_request=any(
            name == b"x-request" and value for name, value in headers
        ),
    )


def read_table(value: bytes) -> routes.RoutingTable:
    """Decode the operators' configuration.

    :param value: JSON document.
    :raises ValueError: if it is malformed.
    """
    return model.decode(routes.RoutingTable, value)


def read_registration(key: str, value: bytes) -> fleet.Endpoint:
    """Decode an endpoint's registration.

    :param key: its key.
    :param value: JSON document.
    :raises ValueError: if it describes no usable endpoint.
    """
    found = model.decode(fleet.Endpoint, value)
    if key != f"{registrations_prefix}{found.endpoint_id}":
        raise ValueError(
            f"endpoint id {found.endpoint_id!r} does not match key {key}"
        )
    _check_usable(found)
    return found


def _check_usable(endpoint: fleet.Endpoint) -> None:
    """Check what an endpoint says of itself.

    :raises ValueError: if it cannot be used.
    """
    ipaddress.ip_address(endpoint.host)
    if not 0 < endpoint.port <= model.MAX_PORT:
        raise ValueError("port: out of range")
    member = endpoint.membership
    numbers = {
        "slots": endpoint.slots,
        "started_at_ms": endpoint.started_at_ms,
    }
    if member is not None:
        numbers |= {"epoch": member.epoch, "rank": member.rank}
    for name, number in numbers.items():
        if not 0 <= number <= model.MAX_WHOLE_NUMBER:
            raise ValueError(f"{name}: out of range")


def order_path() -> str:
    """Return the HTTP path to which orders are sent."""
    return "/v1/orders"


def order_body(order: assembly.Order) -> bytes:
    """Encode an order.

    :param order: the order.
    """
    return model.encode(_order_document(order)).encode()


def _order_document(order: assembly.Order) -> OrderBody:
    match order:
        case assembly.Join():
            names = tuple(endpoint.endpoint_id for endpoint in order.members)
            return OrderBody(
                "join", order.replica, order.epoch, order.model, names
            )
        case assembly.Open():
            return OrderBody("open", *order.head.membership.replica_key)
        case assembly.Close():
            return OrderBody(
                "close",
                *order.head.membership.replica_key,
                at_once=order.at_once,
            )
        case assembly.Leave():
            return OrderBody("leave", *order.endpoint.membership.replica_key)
        case assembly.Stage():
            return OrderBody("stage", model=order.model)
    raise TypeError(f"order cannot be encoded: {order!r}")


def report_path() -> str:
    """Return the HTTP path of an endpoint's report."""
    return "/v1/report"


def read_report(value: bytes) -> fleet.Membership | None:
    """Decode the replica membership in an endpoint's report.

    :param value: JSON document.
    :raises ValueError: if it is malformed.
    """
    return model.decode(Report, value).membership
