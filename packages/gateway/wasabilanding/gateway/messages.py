"""Typed messages between the gateway and its wire format."""

import dataclasses
import enum
import typing

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding import metadata
from wasabilanding import model
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
    """Decoded head of a caller's request.

    :param request_id: identifier of this submission; empty for none.
    :param host: requested host.
    :param deadline_s: seconds that the caller waits; None if not given.
    :param key: the caller's API key; None for none.
    :param resumes_after: number of the event after which to resume a stream;
        None to start from the beginning.
    :param model: requested model; empty for none.
    :param prompt_tokens: length of the prompt; 0 if not given.
    :param max_output_tokens: limit on the answer's length; 0 if not given.
    :param expected_output_tokens: the caller's estimate of the answer's
        length; 0 if not given.
    :param headers: headers to forward.
    :param prompt_parts: parts of the prompt, in the form of
        :mod:`wasabilanding.gateway.prompt_parts`; empty for none.
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
    prompt_parts: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptParameters:
    """Parameters of one attempt, sent with the caller's request.

    :param endpoint: intended endpoint.
    :param remaining_s: seconds left until the deadline.
    :param customer: customer that the caller belongs to; empty for none.
    :param resumes_after: number of the event after which to resume a stream;
        None to start from the beginning.
    :param priority: rank in the endpoint's queue, 0 first; None for none.
    """

    endpoint: fleet.Endpoint
    remaining_s: float
    customer: str
    resumes_after: int | None
    priority: int | None = None


class ReplyKind(enum.Enum):
    """Meaning of an endpoint's reply, as determined from its head."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    FAILURE = "failure"
    MISMATCHED = "foreign"


@dataclasses.dataclass(frozen=True)
class ReplyHead:
    """Head of an endpoint's reply.

    :param kind: an answer to this request; a refusal, where the request did
        not run; a failure of a request that ran; or a mismatch, where the
        reply does not belong to this request.
    :param status: HTTP status.
    :param headers: headers to forward.
    :param is_events: whether the body is a stream of events.
    :param faulty_endpoint_id: identity of the endpoint that made a replica
        refuse; empty if not given.
    :param is_misdirected: whether the request reached another endpoint than
        the intended one.
    """

    kind: ReplyKind
    status: int
    headers: tuple[Header, ...]
    is_events: bool
    faulty_endpoint_id: str = ""
    is_misdirected: bool = False


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """What the head of any reply says about the endpoint itself.

    :param is_leaving: whether the endpoint announces its shutdown.
    :param retry_after_s: seconds for which the endpoint wants no other
        request; None if it does not ask for that.
    :param invalid_retry_after: a value that is no valid duration; None for
        none. ``retry_after_s`` is a default then, unless another one is valid.
    :param limit_per_s: requests a second that the endpoint takes from all
        nodes together; None if it names no limit.
    :param invalid_limit: a value that is no valid limit; None for none.
    :param cold_left_s: seconds for which the endpoint stays cold, 0 if it is
        not; None if it does not say.
    :param invalid_cold_left: a value that is no such time; None for none.
    :param names_request: whether the reply names a caller's request.
    """

    is_leaving: bool = False
    retry_after_s: float | None = None
    invalid_retry_after: str | None = None
    limit_per_s: float | None = None
    invalid_limit: str | None = None
    cold_left_s: float | None = None
    invalid_cold_left: str | None = None
    names_request: bool = False


class InvalidHead(ValueError):
    """The head of a request is malformed; the message says why."""


class WireFormat(typing.Protocol):
    """Encoding of messages to callers and endpoints and of stored items."""

    configuration_key: str
    registrations_prefix: str
    internal_prefix: str
    # Followed by the name of a failure domain that is evacuated.
    evacuation_prefix: str

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode the head of a caller's request.

        :raises InvalidHead: if it is malformed.
        """

    def answer_headers(self, request: CallerRequest) -> list[Header]:
        """Return the headers that every answer to a request has."""

    def request_headers(
        self, request: CallerRequest, parameters: AttemptParameters
    ) -> list[Header]:
        """Return the headers of a request to an endpoint."""

    def relay_headers(
        self, head: RequestHead, remaining_s: float, resumes_after: int | None
    ) -> list[Header]:
        """Return the headers of a caller's request that another node serves.

        They are the caller's own but for the time left and where to resume.
        """

    def read_reply(
        self,
        request: CallerRequest,
        status: int,
        headers: list[Header],
        is_first: bool = True,
    ) -> ReplyHead:
        """Decode the head of an endpoint's reply.

        :param is_first: whether it is the first reply on its connection, so
            that it cannot belong to an earlier request.
        """

    def read_notice(
        self, status: int, headers: list[Header]
    ) -> EndpointNotice:
        """Decode what the head of any reply says about the endpoint.

        Replies to orders and to requests for a report are decoded too.
        """

    def read_table(self, value: bytes) -> routes.RoutingTable:
        """Decode the operators' configuration.

        :raises ValueError: if it is malformed.
        """

    def read_registration(self, key: str, value: bytes) -> fleet.Endpoint:
        """Decode an endpoint's registration.

        :raises ValueError: if it describes no usable endpoint.
        """

    def order_path(self) -> str:
        """Return the HTTP path to which orders are sent."""

    def order_body(self, order: assembly.Order) -> bytes:
        """Encode an order."""

    def report_path(self) -> str:
        """Return the HTTP path of an endpoint's report."""

    def read_report(self, value: bytes) -> fleet.Membership | None:
        """Decode the replica membership in an endpoint's report.

        :raises ValueError: if it is malformed.
        """


class Store(typing.Protocol):
    """The platform's key-value store.

    Answers of an older era than :attr:`latest_era` count as not received. A
    write in another era than its lease is not reported as written.
    """

    latest_era: model.Era

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

        :param is_probe: whether to call the store even while it fails.
        """

    async def create(
        self, key: str, value: bytes, lease: metadata.Lease
    ) -> metadata.WriteResult:
        """Write a key if it does not exist."""

    async def replace(
        self, key: str, value: bytes, revision: int, lease: metadata.Lease
    ) -> metadata.WriteResult:
        """Write a key if it has a revision."""

    async def remove(self, key: str, revision: int) -> metadata.WriteResult:
        """Remove a key if it has a revision."""

    async def put_all(
        self, items: dict[str, bytes], lease: metadata.Lease
    ) -> metadata.WriteResult:
        """Write keys regardless of their current values."""

    async def grant_lease(
        self, ttl_s: float
    ) -> metadata.Lease | metadata.Unavailable:
        """Request a lease."""

    async def renew_lease(
        self, lease: metadata.Lease
    ) -> metadata.Lease | metadata.Missing | metadata.Unavailable:
        """Renew a lease."""

    async def end_lease(self, lease: metadata.Lease) -> None:
        """Revoke a lease."""
