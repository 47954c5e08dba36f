"""Starts the stand-ins and the nodes of a small system on loopback.

Explanation
===========

The launcher is tooling: the daemon itself starts no process. Every process
is ended by its id when the block ends.
"""

import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
import types

import httpx

HOST = "127.0.0.1"
STANDINS_MODULE = "wasabilanding.standins.main"
BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 200
PLATFORM_PORTS = 1
CONTROL_PORTS = 1
NODE_PORTS = 3
PORT_BLOCKS = 100


@dataclasses.dataclass(frozen=True)
class Plan:
    """What is started.

    :param failure_domains: names of the failure domains.
    :param nodes_per_domain: entry VMs in each.
    :param fabrics_per_domain: fabric domains in each.
    :param vms_per_fabric: VMs in each fabric domain.
    """

    failure_domains: tuple[str, ...]
    nodes_per_domain: int = 1
    fabrics_per_domain: int = 2
    vms_per_fabric: int = 3

    @property
    def ports(self) -> int:
        """Ports that the system listens on."""
        vms = self.fabrics_per_domain * self.vms_per_fabric
        per_domain = CONTROL_PORTS + vms + NODE_PORTS * self.nodes_per_domain
        return PLATFORM_PORTS + len(self.failure_domains) * per_domain


@dataclasses.dataclass(frozen=True)
class NodeHandle:
    """A node that was started.

    :param name: its name.
    :param failure_domain: its failure domain.
    :param callers_url: where callers connect.
    :param administration_url: where operators connect.
    :param process: its process.
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
    """Return ports that nothing listens on.

    They lie below the range that outgoing connections take theirs from.
    Launchers that run side by side begin at different ports.

    :param count: how many.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    ports: list[int] = []
    for port in range(first, LAST_PORT):
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def url_of(port: int) -> str:
    """Return the URL of a port on loopback.

    :param port: the port.
    """
    return f"http://{HOST}:{port}"


class Processes:
    """Processes that were started, each with a log file.

    :param folder: takes the logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def spawn(self, name: str, *command: str) -> subprocess.Popen[bytes]:
        """Start a process.

        :param name: name of its log file; a log that exists goes on.
        :param command: the command.
        """
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self._started.append(process)
        return process

    def start_standin(
        self, name: str, kind: str, argument: str, probe_url: str
    ) -> None:
        """Start a process of the stand-ins and wait until it answers.

        :param name: name of its log file.
        :param kind: "platform", "fleet" or "fabric".
        :param argument: its port or its settings file.
        :param probe_url: URL that it answers once it runs.
        """
        self.spawn(name, sys.executable, "-m", STANDINS_MODULE, kind, argument)
        wait_for_http(probe_url)

    def start_platform(self, port: int) -> str:
        """Start the stand-in of the platform and return its URL.

        :param port: its port.
        """
        url = url_of(port)
        probe_url = f"{url}/standin/calls"
        self.start_standin("platform", "platform", str(port), probe_url)
        return url

    def stop(self) -> None:
        """End all processes, by their ids."""
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
    """A running system; a context manager.

    :param plan: what is started.
    :param folder: takes settings, logs and traces.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self._plan = plan
        self._folder = folder
        self._processes = Processes(folder)
        self._vms: list[dict] = []
        self._ports = iter(free_ports(plan.ports))
        self._fleet_urls: dict[str, str] = {}
        self.nodes: list[NodeHandle] = []
        self.platform_url = ""

    @property
    def fleet_urls(self) -> dict[str, str]:
        """Where the faults of each failure domain are ordered."""
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
    """Wait until a URL answers with success.

    :param url: the URL.
    :param timeout_s: longest wait in seconds.
    :raises TimeoutError: when it does not.
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
