"""The project's own form of what callers, endpoints and the store say.

Documents are the project's types as JSON. Headers of a request:

============================ ===============================================
``x-request``                identity of this submission
``x-deadline-s``             seconds that the caller waits, or that are left
``x-key``                    key of the caller; never passed on
``x-model``                  model that is asked for
``x-resumes-after``          number of the last event that the caller has
``x-endpoint``               endpoint that is meant
``x-customer``               customer that the key belongs to
============================ ===============================================

An endpoint's answer repeats ``x-request``; ``x-not-run`` says that it did
not run the request and ``x-events`` that the body is a series of events.
"""

import dataclasses

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding.gateway import headers as headers_module
from wasabilanding.gateway import messages
from wasabilanding import model
from wasabilanding import routes

configuration_key = "configuration"
registrations_prefix = "endpoints/"
internal_prefix = "own/"

HTTP_ERROR = 400
HTTP_MISDIRECTED = 421
# Headers that this node sets itself.
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
    :param model: model to load; empty where none is.
    :param members: identities of a join's members, the head first.
    :param at_once: whether a close breaks off what runs.
    """

    kind: str
    replica: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    at_once: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """What an endpoint says of itself when asked.

    :param membership: its replica; None for none.
    """

    membership: fleet.Membership | None = None


def _number(
    fields: dict[bytes, str], name: bytes, kind: type[int] | type[float]
) -> int | float | None:
    text = fields.get(name)
    if text is None:
        return None
    try:
        return kind(text)
    except ValueError:
        raise messages.InvalidHead(
            f"{name.decode()}: {text!r} is no number"
        ) from None


def read_request(head: messages.RequestHead) -> messages.CallerRequest:
    """Decode the head of a caller's request.

    :param head: the head.
    :raises wasabilanding.gateway.InvalidHead: when a header is malformed.
    """
    fields = {name: value.decode("latin-1") for name, value in head.headers}
    passed = headers_module.end_to_end(head.headers)
    return messages.CallerRequest(
        request_id=fields.get(b"x-request", ""),
        host=fields.get(b"host", "").partition(":")[0].lower(),
        deadline_s=_number(fields, b"x-deadline-s", float),
        key=fields.get(b"x-key"),
        resumes_after=_number(fields, b"x-resumes-after", int),
        model=fields.get(b"x-model", ""),
        prompt_tokens=0,
        max_output_tokens=0,
        expected_output_tokens=0,
        headers=tuple(h for h in passed if h[0] not in OWN_HEADERS),
    )


def answer_headers(request: messages.CallerRequest) -> list[messages.Header]:
    """Return the headers of every answer to a request.

    :param request: the request.
    """
    return [(b"x-request", request.request_id.encode("latin-1"))]


def request_headers(
    request: messages.CallerRequest, parameters: messages.AttemptParameters
) -> list[messages.Header]:
    """Return the headers of a request to an endpoint.

    :param request: the caller's request.
    :param parameters: what the endpoint is told besides.
    """
    headers = [
        *request.headers,
        *answer_headers(request),
        (b"x-deadline-s", f"{parameters.remaining_s:.3f}".encode()),
        (b"x-endpoint", parameters.endpoint.endpoint_id.encode()),
        (b"x-customer", parameters.customer.encode()),
    ]
    if parameters.resumes_after is not None:
        after = str(parameters.resumes_after).encode()
        headers.append((b"x-resumes-after", after))
    return headers


def read_reply(
    request: messages.CallerRequest,
    status: int,
    headers: list[messages.Header],
) -> messages.ReplyHead:
    """Decode the head of an endpoint's reply.

    :param request: the request that it should belong to.
    :param status: HTTP status.
    :param headers: its headers, names in lower case.
    """
    fields = dict(headers)
    kind = messages.ReplyKind.ANSWER
    if fields.get(b"x-request") != request.request_id.encode("latin-1"):
        kind = messages.ReplyKind.MISMATCHED
    elif b"x-not-run" in fields:
        kind = messages.ReplyKind.NOT_RUN
    elif status >= HTTP_ERROR:
        kind = messages.ReplyKind.FAILURE
    return messages.ReplyHead(
        kind=kind,
        status=status,
        headers=headers_module.end_to_end(headers),
        is_events=b"x-events" in fields,
        is_misdirected=status == HTTP_MISDIRECTED,
    )


def read_table(value: bytes) -> routes.RoutingTable:
    """Decode the operators' configuration.

    :param value: JSON document.
    :raises ValueError: when it is malformed.
    """
    return model.decode(routes.RoutingTable, value)


def read_registration(key: str, value: bytes) -> fleet.Endpoint:
    """Decode an endpoint's registration.

    :param key: its key.
    :param value: JSON document.
    :raises ValueError: when it names no endpoint to use.
    """
    found = model.decode(fleet.Endpoint, value)
    if key != f"{registrations_prefix}{found.endpoint_id}":
        raise ValueError(f"{key} holds endpoint {found.endpoint_id!r}")
    return found


def order_path() -> str:
    """Return the path that takes orders."""
    return "/v1/orders"


def order_body(order: assembly.Order) -> bytes:
    """Encode an order.

    :param order: the order.
    """
    return model.encode(_order(order)).encode()


def _order(order: assembly.Order) -> OrderBody:
    match order:
        case assembly.Join():
            names = tuple(one.endpoint_id for one in order.members)
            return OrderBody(
                "join", order.replica, order.epoch, order.model, names
            )
        case assembly.Open():
            return OrderBody("open", *order.head.membership.place)
        case assembly.Close():
            return OrderBody(
                "close", *order.head.membership.place, at_once=order.at_once
            )
        case assembly.Leave():
            return OrderBody("leave", *order.endpoint.membership.place)
        case assembly.Stage():
            return OrderBody("stage", model=order.model)
    raise TypeError(f"{order!r} is not sent as an order")


def report_path() -> str:
    """Return the path of an endpoint's report."""
    return "/v1/report"


def read_report(value: bytes) -> fleet.Membership | None:
    """Decode the replica that an endpoint's report names.

    :param value: JSON document.
    :raises ValueError: when it is malformed.
    """
    return model.decode(Report, value).membership
