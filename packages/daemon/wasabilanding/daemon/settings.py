"""Settings of one node, read from a JSON file."""

import dataclasses
import pathlib
import typing

import pydantic

from wasabilanding import model
from wasabilanding.model import codec

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=3600)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Address = typing.Annotated[
    str, pydantic.Field(pattern=r"^[^\s:/]+:[0-9]{1,5}$")
]


@dataclasses.dataclass(frozen=True)
class Listener:
    """Where the node listens.

    :param host: IP number.
    :param port: port.
    """

    __pydantic_config__ = codec.STRICT

    port: Port
    host: str = "127.0.0.1"

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one node.

    :param node: name of the node, unique among all nodes.
    :param failure_domain: its failure domain.
    :param callers: where callers connect.
    :param administration: where operators connect.
    :param peers: where the other nodes connect.
    :param platform_url: base URL of the platform's service.
    :param seeds: peers that are tried first, as host:port.
    :param lease_ttl_s: time to live of the lease of control, in seconds.
    :param control_interval_s: time between decisions, in seconds.
    :param observation_interval_s: time between reports, in seconds.
    :param exchange_interval_s: time between exchanges, in seconds.
    :param drain_notice_s: time in which the balancer sees that the node is
        not ready, in seconds.
    :param max_in_flight: requests in flight on this node.
    :param log_level: lowest level that is logged.
    :param trace_file: file that takes the spans, or empty for none.
    """

    __pydantic_config__ = codec.STRICT

    node: Name
    failure_domain: Name
    callers: Listener
    administration: Listener
    peers: Listener
    platform_url: typing.Annotated[
        str, pydantic.Field(pattern=r"^https?://\S+$")
    ]
    seeds: tuple[Address, ...] = ()
    lease_ttl_s: Seconds = 3.0
    control_interval_s: Seconds = 0.3
    observation_interval_s: Seconds = 0.7
    exchange_interval_s: Seconds = 0.4
    drain_notice_s: Seconds = 1.0
    max_in_flight: typing.Annotated[int, pydantic.Field(ge=1)] = 2000
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    trace_file: str = ""

    def __post_init__(self) -> None:
        """Refuse listeners that would collide."""
        listeners = {
            "callers": self.callers.address,
            "administration": self.administration.address,
            "peers": self.peers.address,
        }
        if len(set(listeners.values())) < len(listeners):
            raise ValueError(f"listeners share an address: {listeners}")


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check settings.

    :param path: the JSON file.
    :raises OSError: when the file can't be read.
    :raises wasabilanding.model.InvalidDocument: when it does not fit.
    """
    return model.decode(Settings, path.read_bytes())
