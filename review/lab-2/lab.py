"""Stand-ins of the users' platform, and the start of the gateways.

The store and the clients run in the process of the script. Engines and
gateways are processes of their own, so that signals reach them one by one.
Only the standard library is used, and every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "127.0.0.1"
SITE = "salon.example"
KEY = "key-1"
TENANT = "salon"
HEARTBEAT_S = 1.2
# An entry is removed after so many heartbeats of silence.
SILENT_HEARTBEATS = 3
PAGE_ITEMS = 500
START_TIMEOUT_S = 25.0
GRACE_S = 8.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# All clients, whose connections are closed at the end.
CLIENTS: list["Client"] = []


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return free TCP ports."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            found.append(sock.getsockname()[1])
        return found


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._begun_at:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Head:
    """First line and headers of a message."""

    first: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1")[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {n.strip().lower(): v.strip() for n, _, v in pairs})


async def read_request_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a request with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body, to its end."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        part = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield part


@dataclasses.dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.port = 0
        self.revision = 100
        self.items: dict[str, _Item] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._beats: dict[str, float] = {}
        self._servers: list[asyncio.Server] = []
        # Seconds by which each answer to a gateway is late.
        self.delay_s = 0.0
        self.on_call = lambda path, headers: None

    async def start(self) -> None:
        """Listen, and remove what expires."""
        self.port = await self.view({})
        self._task = asyncio.create_task(self._expire())

    async def view(self, links: dict[str, int]) -> int:
        """Listen at a further port, for one gateway.

        :param links: ports at which this gateway reaches engines, by their
            names: each is a proxy in front of the engine.
        :returns: the port.
        """

        async def serve(reader, writer) -> None:
            await self._serve(reader, writer, links)

        server = await asyncio.start_server(serve, HOST, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._note(self._row(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._note(event)

    def beat(self, engine: str, entry: dict) -> None:
        """Write the entry of an engine."""
        self._beats[engine] = time.monotonic()
        self.put(f"servers/{engine}", json.dumps(entry).encode())

    def leave(self, engine: str) -> None:
        """Remove the entry of an engine that has left."""
        self._beats.pop(engine, None)
        self.remove(f"servers/{engine}")

    def configure(self, document: dict) -> None:
        """Write the operator's configuration."""
        self.put("op/config", json.dumps(document).encode())
        self._record.write(
            f"store confirms configuration {document['version']}"
        )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for engine, at in list(self._beats.items()):
                if now - at > SILENT_HEARTBEATS * HEARTBEAT_S:
                    self._record.write(f"store removes the entry of {engine}")
                    self.leave(engine)
            for lease, (_, until) in list(self.leases.items()):
                if now > until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.remove(key)

    def _row(self, key: str) -> dict:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createdRev": item.created,
            "lease": item.lease,
        }

    async def _serve(self, reader, writer, links: dict[str, int]) -> None:
        with contextlib.suppress(OSError), contextlib.closing(writer):
            while (head := await read_head(reader)) is not None:
                body = await read_request_body(reader, head.headers)
                method, target, _ = head.first.split(" ")
                self.on_call(target, head.headers)
                status, document = await self._answer(method, target, body)
                if self.delay_s and not target.startswith("/standin"):
                    await asyncio.sleep(self.delay_s)
                for row in document.get("items") or document.get("events", ()):
                    _replace_address(row, links)
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nStore-Era: 1\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()

    async def _answer(self, method: str, target: str, body: bytes):
        path, _, query = target.partition("?")
        pairs = [p.partition("=") for p in query.split("&") if p]
        params = {n: _unquoted(v) for n, _, v in pairs}
        name = path.removeprefix("/api/")
        if path.startswith("/standin/servers/"):
            engine = path.rpartition("/")[2]
            if method == "DELETE":
                self.leave(engine)
            else:
                self.beat(engine, json.loads(body))
            return 200, {}
        if name == "kv-key":
            found = params["key"] in self.items
            return (200, self._row(params["key"])) if found else (404, {})
        if name == "kv-range":
            return 200, self._range(params)
        if name == "kv-watch":
            return await self._watch(params)
        if name == "kv-txn":
            return self._transaction(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttlMs"])
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = ttl_ms / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(name.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if name.startswith("kv-lease-end"):
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _range(self, params: dict[str, str]) -> dict:
        prefix, after = params.get("prefix", ""), params.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return {
            "items": [self._row(k) for k in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "asOf": self.revision,
        }

    async def _watch(self, params: dict[str, str]):
        prefix, after = params.get("prefix", ""), int(params["after"])
        until = time.monotonic() + int(params["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _transaction(self, document: dict):
        for row in document["expected"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in document["writes"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
        for row in document["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row["lease"])
        for key in document["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


def _replace_address(row: dict, links: dict[str, int]) -> None:
    """Let an entry of an engine name the proxy in front of it."""
    name = row["key"].removeprefix("servers/")
    if name in links and "value" in row:
        entry = json.loads(base64.b64decode(row["value"]))
        entry["address"] = f"{HOST}:{links[name]}"
        row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()


def _unquoted(text: str) -> str:
    import urllib.parse

    return urllib.parse.unquote_plus(text)


class Engine:
    """An engine of a plain service, as a process."""

    def __init__(self, store: Store, name: str, **settings) -> None:
        self.name = name
        self._settings = {
            "name": name,
            "store": store.port,
            "heartbeat_s": HEARTBEAT_S,
            "zone": "z1",
            "service": "pages",
            "slots": 6,
            **settings,
        }
        self.lines: list[dict] = []

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE / "engine.py"),
            json.dumps(self._settings),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        first = json.loads(await self.process.stdout.readline())
        self.port = first["port"]
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            self.lines.append(json.loads(line))

    def tell(self, **changes) -> None:
        """Change how the engine behaves."""
        self.process.stdin.write(json.dumps(changes).encode() + b"\n")

    def kill(self) -> None:
        """Crash the engine."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


class Link:
    """A proxy between one gateway and one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._server = None
        self._open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Accept connections, also after a cut."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all connections, and refuse new ones."""
        self._server.close()
        for writer in self._open:
            _reset(writer)

    async def _serve(self, reader, writer) -> None:
        try:
            there = await asyncio.open_connection(HOST, self._engine.port)
        except OSError:
            _reset(writer)
            return
        pair = {writer, there[1]}
        self._open |= pair
        await asyncio.gather(
            _pass_on(reader, there[1]), _pass_on(there[0], writer)
        )
        self._open -= pair


async def _pass_on(reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        value = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
    writer.transport.abort()


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": SITE,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        **more,
    }


def configuration(version: int, routes: list[dict], **more) -> dict:
    """Return a configuration of the operator."""
    services = sorted({r["service"] for r in routes} | {"pages"})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        **more,
    }


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, store: Store, folder: pathlib.Path, name: str, **more):
        self.name = name
        self._folder = folder
        self.port, ready, metrics = free_ports(3)
        self._ready = ready
        # Each node has the same port between nodes at its own address.
        self.settings = {
            "node": name,
            "failure_domain": "z1",
            "callers_address": f"{HOST}:{self.port}",
            "ready_address": f"{HOST}:{ready}",
            "store_address": f"{HOST}:{store.port}",
            "first_start": True,
            "shutdown_grace_s": GRACE_S,
            "key_revocation_ms": 5000,
            "retry_ratio": 0.2,
            "retry_slack": 109,
            "change_bounds_ms": [2000, 2000, None],
            "admission": False,
            "peer_port": free_ports(1)[0],
            "metrics_port": metrics,
            "memory_mb": 300,
            "max_descriptors": 4100,
            "region": "r1",
            "regions": {"z1": "r1", "z2": "r1", "z3": "r1"},
            **more,
        }

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WASABILANDING_BOOT": str(path),
        }
        self.log = self._folder / f"{self.name}.log"
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "wasabilanding.platform.main",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, self._ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head.first
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)


class CannotRun(Exception):
    """The case could not run."""


@dataclasses.dataclass
class Answer:
    """What a client has received.

    :param status: HTTP status; 0 for none.
    :param headers: headers of the answer.
    :param body: as much of the body as has arrived.
    :param is_complete: whether the answer ended as its framing says.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Client:
    """A connection of a client, kept for several requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writer = None
        CLIENTS.append(self)

    async def open(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, self._port), 1.0
        )

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 8000,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and return its answer."""
        if self._writer is None:
            await self.open()
        fields = {
            "Host": SITE,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{n}: {v}\r\n" for n, v in fields.items())
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 2.0):
                self._writer.write(
                    f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode()
                    + body
                )
                await self._writer.drain()
                await self._receive(answer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            TimeoutError,
            OSError,
        ):
            self.close()
        return answer

    async def _receive(self, answer: Answer) -> None:
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError
        answer.status = int(head.first.split(" ")[1])
        answer.headers = head.headers
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            async for part in chunks(self._reader):
                answer.body += part
        elif "content-length" in head.headers:
            left = int(head.headers["content-length"])
            while left:
                part = await self._reader.read(left)
                if not part:
                    raise ConnectionResetError
                answer.body += part
                left -= len(part)
        else:
            answer.body = await self._reader.read()
            self.close()
        answer.is_complete = True
        if head.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


async def ask(port: int, *arguments, **options) -> Answer:
    """Send one request on a connection of its own."""
    client = Client(port)
    try:
        return await client.send(*arguments, **options)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        client.close()


class Lab:
    """Context manager that ends all processes that it has started."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []

    async def __aenter__(self) -> "Lab":
        if not (ROOT / "target" / "deps" / "wasabilanding").is_dir():
            raise CannotRun("target/deps is missing: run deploy/build.py")
        await self.store.start()
        return self

    async def __aexit__(self, *error) -> None:
        for client in CLIENTS:
            client.close()
        for part in (*self.engines, *self.gateways):
            with contextlib.suppress(ProcessLookupError, AttributeError):
                part.process.send_signal(signal.SIGCONT)
                part.process.kill()
        for part in (*self.engines, *self.gateways):
            with contextlib.suppress(AttributeError):
                await part.process.wait()
        if "LAB_LOGS" in os.environ:
            for gateway in self.gateways:
                target = pathlib.Path(os.environ["LAB_LOGS"])
                target = target / gateway.log.name
                target.write_bytes(gateway.log.read_bytes())
        self._temporary.cleanup()

    async def engine(self, name: str, **settings) -> Engine:
        """Start an engine."""
        found = Engine(self.store, name, **settings)
        self.engines.append(found)
        await found.start()
        return found

    async def start_gateways(self, count: int, **more) -> list[Gateway]:
        """Start gateways that know each other."""
        for index in range(count):
            gateway = Gateway(
                self.store, self.folder, f"front-{index}", **more
            )
            self.gateways.append(gateway)
        await asyncio.gather(*(g.start() for g in self.gateways))
        return self.gateways


def main(play, folder: pathlib.Path) -> None:
    """Run a case and exit with its result."""

    async def run() -> int:
        async with Lab(folder) as lab:
            async with asyncio.timeout(float(os.environ.get("LAB_S", "110"))):
                return await play(lab)

    try:
        result = asyncio.run(run())
    except Exception as error:
        import traceback

        traceback.print_exc()
        print(f"could not run: {error!r}")
        result = NOT_RUN
    sys.exit(result)
