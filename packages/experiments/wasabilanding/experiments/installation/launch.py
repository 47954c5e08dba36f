"""Starts, reconfigures and stops an installation on loopback."""

import collections.abc
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import types
import typing

import httpx

from wasabilanding.experiments.installation import cut_gateway
from wasabilanding.experiments.installation import settling_gateway
from wasabilanding.experiments import launcher
from wasabilanding.gateway import plain_wire
from wasabilanding import model
from wasabilanding import routes

HOST = launcher.HOST
WRITER = "writer"
PAGES = "pages"
SITE = "salon.example"
LARGE = routes.ModelSpec("large", 3, 0.5, 1.0, 1.0, 0.3)
SMALL = routes.ModelSpec("small", 2, 0.5, 1.0, 1.0, 0.3)
PORTS_PER_GATEWAY = 3
SHUTDOWN_GRACE_S = 8.0
ROUTE_TIMEOUT_S = 6.0
START_TIMEOUT_S = 20.0
POLL_S = 0.1
DEFAULT_LIMITS = routes.CallerLimits()


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size of an installation.

    :param failure_domains: names of the failure domains.
    :param nodes_per_domain: gateways in each failure domain.
    :param fabrics_per_domain: fabric domains in each failure domain.
    :param vms_per_fabric: engines in each fabric domain.
    :param pages_per_domain: plain endpoints in each failure domain.
    :param cold_per_s: requests a second that a cold plain endpoint takes; 0
        if none is ever cold.
    :param cold_s: seconds for which they are cold after they have started
        again.
    """

    failure_domains: tuple[str, ...] = ("prov", "maipu")
    nodes_per_domain: int = 2
    fabrics_per_domain: int = 2
    vms_per_fabric: int = 5
    pages_per_domain: int = 2
    cold_per_s: float = 0.0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Vm:
    """An engine or plain endpoint.

    :param endpoint_id: id of the endpoint.
    :param failure_domain: its failure domain.
    :param service: service that it serves.
    :param fabric_domain: its fabric domain; empty for a plain endpoint.
    :param port: port that it listens on.
    """

    endpoint_id: str
    failure_domain: str
    service: str
    fabric_domain: str
    port: int


@dataclasses.dataclass
class Gateway:
    """A gateway and its current process.

    :param name: name of the gateway.
    :param callers_url: base URL for callers.
    :param ready_url: URL of the readiness check for load balancers.
    :param settings: its settings file.
    :param process: its process; replaced on restart.
    :param failure_domain: its failure domain.
    """

    name: str
    callers_url: str
    ready_url: str
    settings: pathlib.Path
    process: subprocess.Popen[bytes]
    failure_domain: str = ""


def _route(name: str, prefix: str, kind: str, service: str) -> routes.Route:
    return routes.Route(
        name=name,
        host=SITE,
        prefix=prefix,
        kind=routes.RequestKind(kind),
        resumable=kind == routes.RequestKind.STREAMING.value,
        timeout_s=ROUTE_TIMEOUT_S,
        latency_goal_s=0.5,
        event_gap_s=0.3,
        priority=1,
        max_attempts=1 if kind == routes.RequestKind.UNSAFE.value else 3,
        public=False,
        targets=(routes.Target(service),),
    )


def routing_table(
    version: int,
    keys: tuple[str, ...],
    timeout_s: float = ROUTE_TIMEOUT_S,
    cold_per_s: float = 0.0,
    cold_s: float = 0.0,
    idle_timeout_s: float = DEFAULT_LIMITS.idle_timeout_s,
) -> routes.RoutingTable:
    """Return the routing table of the installation.

    :param version: version of the table.
    :param keys: API keys of the customer "salon".
    :param timeout_s: request timeout of all routes in seconds.
    :param cold_per_s: requests a second that a cold plain endpoint takes.
    :param cold_s: seconds for which it is cold after its start.
    :param idle_timeout_s: idle timeout of callers' connections in seconds.
    """
    table_routes = (
        _route("drafts", "/drafts/", "streaming", WRITER),
        _route("pages", "/pages/", "safe", PAGES),
        _route("sheets", "/sheets/", "unsafe", PAGES),
    )
    engine = routes.EngineSpec(4, (LARGE, SMALL), 20.0, 4)
    return routes.RoutingTable(
        version,
        tuple(
            dataclasses.replace(r, timeout_s=timeout_s) for r in table_routes
        ),
        (
            routes.RoutedService(WRITER, 100, engine),
            routes.RoutedService(PAGES, 100, None, cold_per_s, cold_s),
        ),
        routes.CallerLimits(idle_timeout_s=idle_timeout_s),
        (routes.KeyHolder("salon", frozenset(keys)),),
    )


class Installation:
    """Context manager that runs an installation.

    :param plan: size of the installation.
    :param folder: folder for settings and logs.
    :param proxied_port: maps the name and port of a server to the port of a
        proxy in front of it, which can inject network faults; by default no
        proxies are used.
    :param is_cuttable: whether the links of each gateway to the endpoints can
        be cut, with :meth:`cut`.
    :param output_of: maps the name of a gateway to the file descriptor for
        its standard output, or None for its log file, the default.
    :param settings: settings of the gateways that differ from the usual ones.
    :param behaviour: settings of the endpoints, see
        :class:`wasabilanding.standins.registered_engine.RegisteredSettings`.
    :param settling_s: seconds for which gateways go by an earlier idle timeout
        after it was lowered; None for the usual time.

    ``environment_of`` maps the name of a gateway to additional variables of
    the next process of it.
    """

    def __init__(
        self,
        plan: Plan,
        folder: pathlib.Path,
        proxied_port: collections.abc.Callable[[str, int], int] | None = None,
        output_of: collections.abc.Callable[[str], int | None] | None = None,
        is_cuttable: bool = False,
        settings: collections.abc.Mapping[str, typing.Any] | None = None,
        behaviour: collections.abc.Mapping[str, typing.Any] | None = None,
        settling_s: float | None = None,
    ) -> None:
        self._settling_s = settling_s
        self._settings = dict(settings or {})
        self._behaviour = dict(behaviour or {})
        self._plan = plan
        self._folder = folder
        self._proxied_port = proxied_port or (lambda name, port: port)
        self._is_cuttable = is_cuttable
        self._output_of = output_of or (lambda name: None)
        self.environment_of: collections.abc.Callable[
            [str], collections.abc.Mapping[str, str]
        ] = lambda name: {}
        self._processes = launcher.Processes(folder)
        self._ports = iter(launcher.free_ports(self._port_count()))
        self.vms: list[Vm] = []
        # Ports at which endpoints are registered, by identity.
        self._endpoint_ports: dict[str, int] = {}
        self.gateways: list[Gateway] = []
        self.control_urls: dict[str, str] = {}
        self.platform_url = ""
        self._platform_port = 0

    def _port_count(self) -> int:
        plan = self._plan
        vms = plan.fabrics_per_domain * plan.vms_per_fabric
        vms += plan.pages_per_domain
        nodes = PORTS_PER_GATEWAY * plan.nodes_per_domain
        return 1 + len(plan.failure_domains) * (1 + vms + nodes)

    def __enter__(self) -> "Installation":
        try:
            self._platform_port = next(self._ports)
            self.platform_url = self._processes.start_platform(
                self._platform_port
            )
            self.configure(
                routing_table(
                    1,
                    ("key-1", "key-2"),
                    cold_per_s=self._plan.cold_per_s,
                    cold_s=self._plan.cold_s,
                )
            )
            for domain in self._plan.failure_domains:
                self._start_fabric(domain)
            self._start_gateways()
        except BaseException:
            self._processes.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
        self._processes.stop()

    def configure(self, table: routes.RoutingTable) -> None:
        """Store a routing table on the platform.

        :param table: routing table with the next version number.
        :raises httpx.HTTPError: if the platform does not confirm it.
        """
        url = f"{self.platform_url}/v1/writes"
        body = {plain_wire.configuration_key: model.encode(table)}
        httpx.post(url, json={"values": body}).raise_for_status()

    def _domain_vms(self, domain: str) -> list[Vm]:
        plan = self._plan
        engines = [
            (f"{domain}-{fabric}-{i}", WRITER, f"{domain}-{fabric}")
            for fabric in range(plan.fabrics_per_domain)
            for i in range(plan.vms_per_fabric)
        ]
        pages = [
            (f"{domain}-page-{i}", PAGES, "")
            for i in range(plan.pages_per_domain)
        ]
        return [
            Vm(name, domain, service, fabric, next(self._ports))
            for name, service, fabric in engines + pages
        ]

    def _start_fabric(self, domain: str) -> None:
        control_port = next(self._ports)
        vms = self._domain_vms(domain)
        registered = {
            vm.endpoint_id: self._proxied_port(vm.endpoint_id, vm.port)
            for vm in vms
        }
        self._endpoint_ports |= registered
        settings = {
            "platform_url": self.platform_url,
            "failure_domain": domain,
            "control_port": control_port,
            "vms": [
                {
                    "endpoint_id": vm.endpoint_id,
                    "service": vm.service,
                    "port": vm.port,
                    "registered_port": registered[vm.endpoint_id],
                    "fabric_domain": vm.fabric_domain,
                }
                for vm in vms
            ],
            "behaviour": {
                **self._behaviour,
                "cold_per_s": self._plan.cold_per_s,
                "cold_s": self._plan.cold_s,
            },
        }
        path = self._folder / f"fabric-{domain}.json"
        path.write_text(json.dumps(settings))
        control_url = launcher.url_of(control_port)
        self._processes.start_standin(
            f"fabric-{domain}",
            "fabric",
            str(path),
            f"{control_url}/standin/runs",
        )
        self.vms.extend(vms)
        self.control_urls[domain] = control_url

    def _start_gateways(self) -> None:
        for domain in self._plan.failure_domains:
            for index in range(self._plan.nodes_per_domain):
                self._start_gateway(domain, f"{domain}-gateway-{index}")
        for gateway in self.gateways:
            launcher.wait_for_http(gateway.ready_url, START_TIMEOUT_S)

    def _start_gateway(self, domain: str, name: str) -> None:
        callers, ready, peers = (next(self._ports) for _ in range(3))
        store_port = self._proxied_port(f"{name}-store", self._platform_port)
        settings = {
            "node": name,
            "failure_domain": domain,
            "callers_address": f"{HOST}:{callers}",
            "ready_address": f"{HOST}:{ready}",
            "store_address": f"{HOST}:{store_port}",
            "first_start": True,
            "shutdown_grace_s": SHUTDOWN_GRACE_S,
            "peer_port": peers,
            **self._settings,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.gateways.append(
            Gateway(
                name,
                launcher.url_of(callers),
                f"{launcher.url_of(ready)}/ready",
                path,
                self._spawn_gateway(name, path),
                domain,
            )
        )

    def _spawn_gateway(
        self, name: str, path: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        command = [str(launcher.BIN / "wasabilanding-gateway")]
        environment = dict(self.environment_of(name))
        if self._settling_s is not None:
            command = [sys.executable, "-c", settling_gateway.PROGRAM]
            environment[settling_gateway.SETTLING_S] = str(self._settling_s)
        elif self._is_cuttable:
            command = [sys.executable, "-c", cut_gateway.PROGRAM]
        if self._is_cuttable:
            environment[cut_gateway.CUT_FILE] = str(self._cut_file(name))
            environment[cut_gateway.CUT_PORTS] = ",".join(
                str(port) for port in self._endpoint_ports.values()
            )
        return self._processes.spawn(
            name,
            *command,
            "--settings",
            str(path),
            output=self._output_of(name),
            environment=environment,
        )

    def _cut_file(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.cut"

    def cut(
        self,
        gateway: Gateway,
        mode: str,
        vms: collections.abc.Iterable[Vm] = (),
    ) -> None:
        """Cut the links of a gateway to endpoints, or end the cut.

        :param gateway: the gateway.
        :param mode: a mode of
            :mod:`wasabilanding.experiments.installation.cut_gateway`; empty
            for none.
        :param vms: the endpoints; empty for all.
        """
        ports = (str(self._endpoint_ports[vm.endpoint_id]) for vm in vms)
        self._cut_file(gateway.name).write_text(" ".join((mode, *ports)))

    def restart(self, gateway: Gateway) -> None:
        """Restart a gateway whose process has exited.

        :param gateway: gateway to restart.
        """
        settings = json.loads(gateway.settings.read_text())
        gateway.settings.write_text(
            json.dumps({**settings, "first_start": False})
        )
        gateway.process = self._spawn_gateway(gateway.name, gateway.settings)

    def control_vm(self, vm: Vm, action: str) -> None:
        """Send a control action to the stand-in of an engine.

        :param vm: engine to control.
        :param action: "kill", "restart", "leave", "pause" or "resume".
        """
        url = self.control_urls[vm.failure_domain]
        httpx.post(
            f"{url}/standin/{vm.endpoint_id}/{action}"
        ).raise_for_status()

    def set_limit(self, vm: Vm, limit: str) -> None:
        """Let the stand-in of an engine name a limit in its replies.

        :param vm: the engine.
        :param limit: requests a second; empty for none.
        """
        url = self.control_urls[vm.failure_domain]
        httpx.post(
            f"{url}/standin/{vm.endpoint_id}/limit", params={"limit": limit}
        ).raise_for_status()

    def make_cold(self, vm: Vm, seconds: float) -> None:
        """Let the stand-in of an engine become cold.

        :param vm: the engine.
        :param seconds: seconds for which it is cold.
        """
        url = self.control_urls[vm.failure_domain]
        httpx.post(
            f"{url}/standin/{vm.endpoint_id}/cold",
            params={"seconds": seconds},
        ).raise_for_status()

    def arrivals(self) -> list[dict]:
        """Return what reached the engines, with its age in seconds."""
        return [
            arrival
            for url in self.control_urls.values()
            for arrival in httpx.get(f"{url}/standin/arrivals").json()
        ]

    def runs(self) -> list[dict]:
        """Return the requests that the engines ran, in no particular order."""
        return [
            run
            for url in self.control_urls.values()
            for run in httpx.get(f"{url}/standin/runs").json()
        ]

    def engine_violations(self) -> list[str]:
        """Return the violations of guarantees that the engines detected."""
        return [
            text
            for url in self.control_urls.values()
            for text in httpx.get(f"{url}/standin/violations").json()
        ]

    def wait_until_serving(self, timeout_s: float = START_TIMEOUT_S) -> float:
        """Wait until each gateway serves requests for each model.

        :param timeout_s: longest wait in seconds.
        :returns: elapsed time in seconds.
        :raises TimeoutError: if a model is not served within the timeout.
        """
        started_at = time.monotonic()
        pending = [
            (gateway.callers_url, name)
            for gateway in self.gateways
            for name in (LARGE.name, SMALL.name)
        ]
        while pending:
            if time.monotonic() - started_at > timeout_s:
                raise TimeoutError(
                    f"not serving after {timeout_s} s: {pending}"
                )
            pending = [pair for pair in pending if not self._is_served(*pair)]
            time.sleep(POLL_S)
        return time.monotonic() - started_at

    def _is_served(self, url: str, name: str) -> bool:
        headers = {
            "host": SITE,
            "x-key": "key-1",
            "x-model": name,
            "x-request": f"probe-{time.monotonic_ns()}",
            "x-events-wanted": "1",
        }
        try:
            answer = httpx.post(f"{url}/drafts/probe", headers=headers)
        except httpx.HTTPError:
            return False
        return answer.is_success
