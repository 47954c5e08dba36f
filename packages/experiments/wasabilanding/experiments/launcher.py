"""Launches stand-in servers and nodes as processes on loopback.

Explanation
===========

The launcher is used by demos, tests and benchmarks only; the daemon itself
starts no processes. On exit from the context manager, each process that was
started is terminated by its own process id.
"""

import collections.abc
import dataclasses
import fcntl
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import types
import typing

import httpx

HOST = "127.0.0.1"
STANDINS_MODULE = "wasabilanding.standins.main"
BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 200
PLATFORM_PORTS = 1
CONTROL_PORTS = 1
NODE_PORTS = 3
PORT_BLOCKS = 100
# Lock files of the blocks of ports that this process has reserved.
_reserved_blocks: dict[int, typing.TextIO] = {}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size of a system.

    :param failure_domains: names of the failure domains.
    :param nodes_per_domain: entry VMs in each failure domain.
    :param fabrics_per_domain: fabric domains in each failure domain.
    :param vms_per_fabric: VMs in each fabric domain.
    """

    failure_domains: tuple[str, ...]
    nodes_per_domain: int = 1
    fabrics_per_domain: int = 2
    vms_per_fabric: int = 3

    @property
    def ports(self) -> int:
        """Number of ports that the system listens on."""
        vms = self.fabrics_per_domain * self.vms_per_fabric
        per_domain = CONTROL_PORTS + vms + NODE_PORTS * self.nodes_per_domain
        return PLATFORM_PORTS + len(self.failure_domains) * per_domain


@dataclasses.dataclass(frozen=True)
class NodeHandle:
    """A running node.

    :param name: name of the node.
    :param failure_domain: its failure domain.
    :param callers_url: base URL for callers.
    :param administration_url: base URL of the administration API.
    :param process: process of the node.
    """

    name: str
    failure_domain: str
    callers_url: str
    administration_url: str
    process: subprocess.Popen[bytes]


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """Return free TCP ports that no other launcher chooses.

    The ports lie below the ephemeral range, so outgoing connections do not
    take them. They come from blocks that this process locks until its end.

    :param count: number of ports.
    :raises RuntimeError: if there are not enough.
    """
    ports: list[int] = []
    start = os.getpid()
    for offset in range(PORT_BLOCKS):
        block = (start + offset) % PORT_BLOCKS
        if not _reserve_block(block):
            continue
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        block_ports = range(first, first + PORTS_PER_BLOCK)
        ports += filter(_is_free, block_ports)
        if len(ports) >= count:
            return ports[:count]
    raise RuntimeError(f"only {len(ports)} of {count} ports are free")


def _reserve_block(block: int) -> bool:
    """Lock a block of ports for this process; return whether it has it."""
    if block in _reserved_blocks:
        return True
    folder = pathlib.Path(tempfile.gettempdir())
    file = (folder / f"wasabilanding-ports-{block}.lock").open("w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _reserved_blocks[block] = file
    return True


def url_of(port: int) -> str:
    """Return the HTTP URL of a loopback port.

    :param port: port number.
    """
    return f"http://{HOST}:{port}"


class Processes:
    """Child processes, each with its own log file.

    :param folder: folder for the log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def spawn(
        self,
        name: str,
        *command: str,
        output: int | None = None,
        environment: collections.abc.Mapping[str, str] | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start a process.

        :param name: name of the log file; output is appended to it.
        :param command: program and its arguments.
        :param output: file descriptor for its standard output instead of the
            log file.
        :param environment: variables besides those of this process.
        """
        with (self._folder / f"{name}.log").open("ab") as log:
            stdout = log if output is None else output
            process = subprocess.Popen(
                command,
                stdout=stdout,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )
        self._started.append(process)
        return process

    def start_standin(
        self, name: str, kind: str, argument: str, probe_url: str
    ) -> None:
        """Start a stand-in server and wait until it responds.

        :param name: name of the log file.
        :param kind: "platform", "fleet" or "fabric".
        :param argument: port of the platform stand-in, or settings file.
        :param probe_url: URL that responds with success once the server runs.
        """
        self.spawn(name, sys.executable, "-m", STANDINS_MODULE, kind, argument)
        wait_for_http(probe_url)

    def start_platform(self, port: int) -> str:
        """Start the platform stand-in and return its URL.

        :param port: port that it listens on.
        """
        url = url_of(port)
        probe_url = f"{url}/standin/calls"
        self.start_standin("platform", "platform", str(port), probe_url)
        return url

    def stop(self) -> None:
        """Terminate all processes; kill those that time out."""
        for process in self._started:
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self._started:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class System:
    """Context manager that runs a system.

    :param plan: size of the system.
    :param folder: folder for settings, logs and traces.
    :param settings: settings of the nodes that differ from the usual ones.
    """

    def __init__(
        self,
        plan: Plan,
        folder: pathlib.Path,
        settings: collections.abc.Mapping[str, typing.Any] | None = None,
    ) -> None:
        self._plan = plan
        self._settings = dict(settings or {})
        self._folder = folder
        self._processes = Processes(folder)
        self._vms: list[dict] = []
        self._ports = iter(free_ports(plan.ports))
        self._fleet_urls: dict[str, str] = {}
        self.nodes: list[NodeHandle] = []
        self.platform_url = ""

    @property
    def fleet_urls(self) -> dict[str, str]:
        """Control URL of the fleet stand-in of each failure domain."""
        return self._fleet_urls

    def __enter__(self) -> "System":
        try:
            self.platform_url = self._processes.start_platform(
                next(self._ports)
            )
            for domain in self._plan.failure_domains:
                self._start_fleet(domain)
            httpx.put(f"{self.platform_url}/standin/vms", json=self._vms)
            self._start_nodes()
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
        self._processes.stop()

    def _fleet_vms(self, domain: str) -> list[dict]:
        plan = self._plan
        count = plan.fabrics_per_domain * plan.vms_per_fabric
        ports = [next(self._ports) for _ in range(count)]
        return [
            {
                "port": port,
                "vm": {
                    "vm": f"{domain}-vm-{index}",
                    "address": url_of(port),
                    "failure_domain": domain,
                    "fabric_domain": (
                        f"{domain}-fabric-{index // plan.vms_per_fabric}"
                    ),
                },
            }
            for index, port in enumerate(ports)
        ]

    def _start_fleet(self, domain: str) -> None:
        control_port = next(self._ports)
        vms = self._fleet_vms(domain)
        settings = {
            "platform_url": self.platform_url,
            "control_port": control_port,
            "vms": vms,
        }
        path = self._folder / f"fleet-{domain}.json"
        path.write_text(json.dumps(settings))
        control_url = url_of(control_port)
        self._processes.start_standin(
            f"fleet-{domain}",
            "fleet",
            str(path),
            f"{control_url}/standin/log",
        )
        self._vms.extend(vm["vm"] for vm in vms)
        self._fleet_urls[domain] = control_url

    def _start_nodes(self) -> None:
        names = [
            (domain, f"{domain}-{index}")
            for domain in self._plan.failure_domains
            for index in range(self._plan.nodes_per_domain)
        ]
        ports = [next(self._ports) for _ in range(3 * len(names))]
        peer_ports = ports[2::3]
        seeds = [f"{HOST}:{port}" for port in peer_ports]
        for index, (domain, name) in enumerate(names):
            node_ports = ports[3 * index : 3 * index + 3]
            self._start_node(domain, name, node_ports, seeds)
        for node in self.nodes:
            wait_for_http(f"{node.callers_url}/healthz")

    def _start_node(
        self, domain: str, name: str, ports: list[int], seeds: list[str]
    ) -> None:
        settings = {
            "node": name,
            "failure_domain": domain,
            "callers": {"port": ports[0]},
            "administration": {"port": ports[1]},
            "peers": {"port": ports[2]},
            "platform_url": self.platform_url,
            "seeds": seeds,
            "trace_file": str(self._folder / f"{name}.spans.jsonl"),
            **self._settings,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self._processes.spawn(
            name, str(BIN / "wasabilandingd"), "--settings", str(path)
        )
        handle = NodeHandle(
            name, domain, url_of(ports[0]), url_of(ports[1]), process
        )
        self.nodes.append(handle)


def wait_for_http(url: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a URL until it responds with a success status.

    :param url: URL to poll.
    :param timeout_s: longest wait in seconds.
    :raises TimeoutError: if there is no success within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if httpx.get(url, timeout=1.0).is_success:
                return
        except httpx.HTTPError:
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"{url} did not answer within {timeout_s} s")
