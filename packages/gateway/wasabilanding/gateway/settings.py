"""Settings of a gateway."""

import collections.abc
import dataclasses
import pathlib
import typing

import pydantic

from wasabilanding.gateway import reply_bounds
from wasabilanding import model
from wasabilanding import routes

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Size = typing.Annotated[int, pydantic.Field(ge=1)]
MS_PER_S = 1000
DEFAULT_CHANGE_BOUNDS_MS = (2000.0,)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings as stored in the JSON file.

    The file is rendered for each deployment, so a quantity may be whole or
    have a fraction, be 0 or be large, and ``null`` stands for a setting that
    the deployment does not give.

    :param node: name of the node.
    :param failure_domain: its failure domain.
    :param callers_address: IP address and port on which callers are served.
    :param ready_address: IP address and port of the readiness check, which
        the load balancer polls.
    :param store_address: IP address and port of the platform's store.
    :param first_start: whether the whole system starts for the first time.
    :param shutdown_grace_s: seconds from SIGTERM to SIGKILL.
    :param key_revocation_ms: milliseconds after which a revoked key must be
        refused even while the store is unreachable; 0 for no bound.
    :param retry_ratio: allowed retries per request to a service.
    :param retry_slack: additional allowed retries, in total over all nodes.
        A node's share of it is rounded down, as a retry takes a whole token;
        where it is less than one, the node's requests add to it.
    :param change_bounds_ms: milliseconds within which a change of the
        configuration, the removal of an endpoint, and the evacuation of a
        failure domain must take effect.
    :param peer_port: UDP port for messages from other nodes, and TCP port for
        requests that they hand on; 0 for none.
    :param metrics_port: TCP port that serves metrics; 0 for none.
    :param max_answer_bytes: largest body of an endpoint's answer that is no
        stream.
    :param max_event_bytes: largest event of a stream.
    :param max_failure_bytes: largest body of an endpoint's failure or of its
        reply to a call.
    :param admission: whether requests wait at the node while all slots are
        in use, and are refused early if they cannot be served in time.
    :param memory_mb: memory of the process in MB, above which it is killed;
        0 for no bound. Requests are refused before it is reached.
    :param max_descriptors: descriptors that the process may open; 0 for the
        limit of the operating system alone. Half of those that are left for
        sockets are for callers.
    :param log_level: lowest level that is logged.
    :param region: region of the node; empty if unknown.
    :param regions: region of each failure domain.
    """

    node: str
    failure_domain: str
    callers_address: str
    ready_address: str
    store_address: str
    first_start: bool = False
    shutdown_grace_s: model.Quantity = 8.0
    key_revocation_ms: model.Quantity = 5000.0
    retry_ratio: model.Quantity = 0.2
    retry_slack: model.Quantity = 100.0
    change_bounds_ms: tuple[model.Quantity, ...] = DEFAULT_CHANGE_BOUNDS_MS
    peer_port: Port = 0
    metrics_port: Port = 0
    max_answer_bytes: Size = reply_bounds.DEFAULT.answer_bytes
    max_event_bytes: Size = reply_bounds.DEFAULT.event_bytes
    max_failure_bytes: Size = reply_bounds.DEFAULT.failure_bytes
    admission: bool = False
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    memory_mb: model.Quantity = 0.0
    max_descriptors: model.Quantity = 0.0
    region: str = routes.NO_REGION
    regions: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def region_map(self) -> routes.RegionMap:
        """Regions of the failure domains."""
        return routes.RegionMap(self.region, self.failure_domain, self.regions)

    @property
    def is_memory_bounded(self) -> bool:
        """Whether the memory of the process is bounded."""
        return self.memory_mb > 0

    @property
    def key_revocation_s(self) -> float:
        """Seconds after which a revoked key must be refused; 0 for none."""
        return self.key_revocation_ms / MS_PER_S

    @property
    def reply_bounds(self) -> reply_bounds.ReplyBounds:
        """Bounds on what is read of endpoints' replies."""
        return reply_bounds.ReplyBounds(
            self.max_answer_bytes, self.max_event_bytes, self.max_failure_bytes
        )

    @property
    def change_bounds_s(self) -> tuple[float, ...]:
        """Seconds within which changes must take effect."""
        return tuple(bound / MS_PER_S for bound in self.change_bounds_ms)

    @property
    def address(self) -> str:
        """IP address of the node."""
        return self.callers_address.rpartition(":")[0]


def _given(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the settings that are given, without each ``null``."""
    given = {}
    for name, value in document.items():
        if isinstance(value, list):
            value = [item for item in value if item is not None] or None
        elif isinstance(value, dict):
            value = {k: item for k, item in value.items() if item is not None}
        if value is not None:
            given[name] = value
    return given


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Unknown settings are passed over; see :func:`unknown_settings`.

    :param path: path of the file.
    :raises wasabilanding.model.InvalidDocument: if it is malformed.
    """
    document = model.decode(dict[str, typing.Any], path.read_bytes())
    return model.decode_value(Settings, _given(document))


def unknown_settings(text: bytes) -> tuple[str, ...]:
    """Return the names in a settings file that are no settings, sorted.

    :param text: content of the file.
    :raises wasabilanding.model.InvalidDocument: if it is malformed.
    """
    known = {field.name for field in dataclasses.fields(Settings)}
    found = model.decode(dict[str, typing.Any], text).keys() - known
    return tuple(sorted(found))
