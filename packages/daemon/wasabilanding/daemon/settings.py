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
    """Address on which the node listens.

    :param port: TCP port.
    :param host: IP address.
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
    :param callers: listener for callers.
    :param administration: listener for operators.
    :param peers: listener for the other nodes.
    :param platform_url: base URL of the platform's service.
    :param seeds: peers to contact first, as host:port.
    :param lease_ttl_s: time to live of the control lease, in seconds.
    :param control_interval_s: time between control decisions, in seconds.
    :param observation_interval_s: time between polls of the VMs' reports, in
        seconds.
    :param exchange_interval_s: mean time between exchanges with peers, in
        seconds.
    :param drain_notice_s: time allowed for the load balancer to notice that
        the node is not ready, in seconds.
    :param max_in_flight: maximum number of requests in flight on this node.
    :param memory_mb: memory of the process in MB; requests are refused before
        it is reached; 0 for no bound.
    :param max_descriptors: descriptors that the process may open; 0 for the
        limit of the operating system alone. Half of those that are left for
        sockets are for callers.
    :param log_level: lowest level that is logged.
    :param trace_file: file to which spans are written, or empty for none.
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
    memory_mb: typing.Annotated[float, pydantic.Field(ge=0)] = 256.0
    max_descriptors: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    trace_file: str = ""

    def __post_init__(self) -> None:
        """Reject listeners that share an address."""
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
    :raises wasabilanding.model.InvalidDocument: when the settings are
        invalid.
    """
    return model.decode(Settings, path.read_bytes())
