"""Starts gateways as the deploy file does, with their stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from lab import engine as engine_module
from lab import http
from lab import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
# Time in which connections end.
CLOSE_S = 0.1
HOST = "shop.example"
KEY = "key-1"
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}


def free_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports of an address."""
    found = []
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((host, 0))
            found.append(listener.getsockname()[1])
    return found


class Gateway:
    """One gateway process.

    :param name: its name.
    :param host: its loopback address.
    :param ports: ports for callers, readiness and peers.
    :param folder: folder for its settings and logs.
    """

    def __init__(self, name, host, zone, ports, store, folder, **settings):
        self.name = name
        self.host = host
        self.callers_port, self.ready_port, self.peer_port = ports[:3]
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.settings = {
            "node": name,
            "failure_domain": zone,
            "callers_address": f"{host}:{self.callers_port}",
            "ready_address": f"{host}:{self.ready_port}",
            "store_address": store,
            "first_start": True,
            "shutdown_grace_s": 8,
            "key_revocation_ms": 5000,
            "retry_ratio": 0.2,
            "retry_slack": 109,
            "change_bounds_ms": [2000, 2000, None],
            "admission": False,
            "peer_port": self.peer_port,
            "metrics_port": ports[3],
            "memory_mb": 300,
            "region": "r1",
            "regions": ZONES,
        } | settings
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        self.path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["WASABILANDING_BOOT"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            found = await asyncio.wait_for(
                ask_once(self.host, self.ready_port, "/api/readiness"), 1.0
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return found is not None and found.status == 200

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the gateway is ready."""
        ends_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > ends_at or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        text = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self) -> float:
        """Return the memory that the process uses."""
        text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def ask_once(host, port, target):
    """Return the answer to a request on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close"
        writer.write(f"{head}\r\n\r\n".encode())
        return await http.read_message(reader, True)
    finally:
        writer.close()


class System:
    """Store, engines and gateways; an asynchronous context manager."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.store = store_module.Store()
        self.engines: list[engine_module.Engine] = []
        self.silent: set[str] = set()
        self._processes: list[subprocess.Popen] = []
        self.gateways: list[Gateway] = []
        self.started_at = time.monotonic()
        self.version = 1

    async def __aenter__(self) -> "System":
        await self.store.start()
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *error) -> None:
        for gateway in self.gateways:
            if gateway.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        for process in self._processes:
            process.kill()
            process.wait()
        self._beats.cancel()
        self.store.close()
        for found in self.engines:
            found.close()
        await asyncio.sleep(CLOSE_S)
        keep = os.environ.get("LAB_KEEP")
        if keep:
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
        self._stack.close()

    async def _beat(self) -> None:
        while True:
            for found in self.engines:
                if found.port and found.identity not in self.silent:
                    self.store.put(f"servers/{found.identity}", found.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def start_process(self, command, folder) -> subprocess.Popen:
        """Start a stand-in as a process, which ends with the system."""
        process = subprocess.Popen(
            command,
            cwd=folder,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._processes.append(process)
        return process

    def tell(self, process: subprocess.Popen, line: str) -> None:
        """Write a line to a process."""
        process.stdin.write(f"{line}\n")
        process.stdin.flush()

    def add_process_engine(self, identity, service, port) -> None:
        """Register an engine that is a process of its own."""
        found = engine_module.Engine(identity, service)
        found.port = port
        self.engines.append(found)
        self.store.put(f"servers/{identity}", found.entry())

    async def add_engine(self, found: engine_module.Engine) -> None:
        """Start an engine and register it."""
        await found.start()
        self.engines.append(found)
        self.store.put(f"servers/{found.identity}", found.entry())

    def configure(self, routes: list[dict], services, **more) -> None:
        """Write a configuration as the operator does."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "t1", "apiKeys": [KEY], "priority": 1}],
        } | more
        self.store.put("op/config", document)

    async def add_gateways(self, count: int, **settings) -> None:
        """Start gateways, one loopback address each."""
        zones = list(ZONES)
        for number in range(count):
            host = f"127.0.0.{number + 2}"
            # The ports are the same on all nodes.
            ports = free_ports(host, 4)
            gateway = Gateway(
                f"front-{number}",
                host,
                zones[number % len(zones)],
                ports,
                self.store.address,
                self.folder,
                **settings,
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()


def route(name, kind, service, **more) -> dict:
    """Return a route under the path of its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
    } | more


def service(name, **more) -> dict:
    """Return a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    } | more


def request_bytes(
    request_id, target, method="POST", body=b"x" * 100, key=KEY, **headers
) -> bytes:
    """Return the bytes of a client's request."""
    fields = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Authorization": f"Bearer {key}",
    }
    fields |= {name.replace("_", "-"): str(v) for name, v in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class Record:
    """Lines about what was sent, answered and run.

    :param path: the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._from = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time in seconds."""
        at = time.monotonic() - self._from
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()
        if sys.stdout.isatty() or os.environ.get("LAB_VERBOSE"):
            print(f"{at:8.3f} {text}")


class Client:
    """A client's connection to a gateway.

    :param gateway: the gateway.
    :param record: what is sent and answered.
    """

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway = gateway
        self._record = record
        self._streams = None

    async def ask(self, request_id, target, timeout_s=10.0, **more):
        """Send a request; return the answer, None for none, and seconds."""
        begun_at = time.monotonic()
        found = None
        try:
            found = await asyncio.wait_for(
                self._ask(request_id, target, **more), timeout_s
            )
        except (OSError, asyncio.TimeoutError) as error:
            self._record.write(f"{request_id} {target} fails: {error!r}")
            self.close()
        took_s = time.monotonic() - begun_at
        status = found.status if found else 0
        whole = bool(found and found.is_whole)
        self._record.write(
            f"{request_id} {target} by {self.gateway.name}: status {status},"
            f" whole {whole}, {took_s:.3f} s"
        )
        if found is None or found.headers.get("connection") == "close":
            self.close()
        return found, took_s

    async def _ask(self, request_id, target, **more):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self.gateway.host, self.gateway.callers_port
            )
        reader, writer = self._streams
        writer.write(request_bytes(request_id, target, **more))
        await writer.drain()
        return await http.read_message(reader, True)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
