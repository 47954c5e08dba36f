"""Typed messages between the gateway and its wire form."""

import dataclasses
import enum
import typing

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding import metadata
from wasabilanding import routes

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Head of a caller's request, as received.

    :param method: HTTP method.
    :param target: path and query, byte for byte.
    :param path: the path alone.
    :param headers: headers, names in lower case.
    """

    method: str
    target: bytes
    path: str
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """What a request's head says.

    :param request_id: identity of this submission; empty for none.
    :param host: host that is asked for.
    :param deadline_s: seconds that the caller waits; None when not said.
    :param key: key that the caller shows; None for none.
    :param resumes_after: event after which a stream goes on; None for a
        stream from its begin.
    :param model: model that is asked for; empty for none.
    :param prompt_tokens: length of the prompt; 0 when not said.
    :param max_output_tokens: bound on the answer's length; 0 when not said.
    :param expected_output_tokens: the caller's guess of the answer's length;
        0 when not said.
    :param headers: headers to pass on.
    """

    request_id: str
    host: str
    deadline_s: float | None
    key: str | None
    resumes_after: int | None
    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True)
class AttemptParameters:
    """What an endpoint is told besides the caller's own request.

    :param endpoint: endpoint that is meant.
    :param remaining_s: seconds that are left for the answer.
    :param customer: customer that the caller belongs to; empty for none.
    :param resumes_after: event after which a stream goes on; None for its
        begin.
    :param priority: rank in the endpoint's queue, 0 first; None for none.
    """

    endpoint: fleet.Endpoint
    remaining_s: float
    customer: str
    resumes_after: int | None
    priority: int | None = None


class ReplyKind(enum.Enum):
    """What the head of an endpoint's reply proves."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    FAILURE = "failure"
    MISMATCHED = "foreign"


@dataclasses.dataclass(frozen=True)
class ReplyHead:
    """Head of an endpoint's reply.

    :param kind: an answer to this request; a refusal that says it did not
        run; an answer that reports a failure of a run; or bytes that do not
        belong to this request.
    :param status: HTTP status.
    :param headers: headers to pass on.
    :param is_events: whether the body is a series of events.
    :param faulty_endpoint_id: identity of the endpoint that made a replica refuse;
        empty when not said.
    :param is_misdirected: whether the endpoint is not the one that is meant.
    """

    kind: ReplyKind
    status: int
    headers: tuple[Header, ...]
    is_events: bool
    faulty_endpoint_id: str = ""
    is_misdirected: bool = False


class InvalidHead(ValueError):
    """A request's head cannot be understood; the text says why."""


class WireFormat(typing.Protocol):
    """How callers and endpoints speak, and what lies in the store."""

    configuration_key: str
    registrations_prefix: str
    internal_prefix: str

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode the head of a caller's request.

        :raises InvalidHead: when it cannot be understood.
        """

    def answer_headers(self, request: CallerRequest) -> list[Header]:
        """Return the headers of every answer to a request."""

    def request_headers(
        self, request: CallerRequest, parameters: AttemptParameters
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    def read_reply(
        self, request: CallerRequest, status: int, headers: list[Header]
    ) -> ReplyHead:
        """Decode the head of an endpoint's reply."""

    def read_table(self, value: bytes) -> routes.RoutingTable:
        """Decode the operators' configuration.

        :raises ValueError: when it is malformed.
        """

    def read_registration(self, key: str, value: bytes) -> fleet.Endpoint:
        """Decode an endpoint's registration.

        :raises ValueError: when it names no endpoint to use.
        """

    def order_path(self) -> str:
        """Return the path that takes orders."""

    def order_body(self, order: assembly.Order) -> bytes:
        """Encode an order."""

    def report_path(self) -> str:
        """Return the path of an endpoint's report."""

    def read_report(self, value: bytes) -> fleet.Membership | None:
        """Decode the replica that an endpoint's report names.

        :raises ValueError: when it is malformed.
        """


class Store(typing.Protocol):
    """The platform's key-value store."""

    async def read_all(
        self, prefix: str
    ) -> metadata.Listing | metadata.Unavailable:
        """Read all items under a prefix."""

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        is_probe: bool = False,
    ) -> metadata.Changes | metadata.HistoryLost | metadata.Unavailable:
        """Wait for changes under a prefix.

        A probe is sent also while the store fails.
        """

    async def create(
        self, key: str, value: bytes, lease: metadata.Lease
    ) -> metadata.WriteResult:
        """Write a key that does not exist."""

    async def put_all(
        self, items: dict[str, bytes], lease: metadata.Lease
    ) -> metadata.WriteResult:
        """Write keys, whatever they hold."""

    async def grant_lease(
        self, ttl_s: float
    ) -> metadata.Lease | metadata.Unavailable:
        """Ask for a lease."""

    async def renew_lease(
        self, lease: metadata.Lease
    ) -> metadata.Lease | metadata.Missing | metadata.Unavailable:
        """Renew a lease."""

    async def end_lease(self, lease: metadata.Lease) -> None:
        """Give a lease back."""
