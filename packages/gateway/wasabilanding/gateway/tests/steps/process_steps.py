"""Steps for the gateway's process on loopback."""

import dataclasses
import logging
import os
import random
import signal
import socket

import behave
import httpx
import trio

from wasabilanding.gateway import metrics
from wasabilanding.gateway import node as node_module
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import metadata

START_S = 5.0
STOP_S = 8.0


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class _QuietStore:
    """A store in which nothing lies and nothing happens."""

    async def read_all(self, prefix):
        """Read nothing."""
        await trio.lowlevel.checkpoint()
        return metadata.Listing((), 1)

    async def watch(self, prefix, after, wait_s, is_probe=False):
        """Wait in vain."""
        await trio.sleep(wait_s)
        return metadata.Changes((), 1)


class _Lines(logging.Handler):
    """Keeps the records that are logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


class _Process:
    """A gateway in this process, and what was seen of it."""

    def __init__(self):
        ports = [_free_port() for _ in range(3)]
        self.settings = dataclasses.replace(
            fakes.SETTINGS,
            callers_address=f"127.0.0.1:{ports[0]}",
            ready_address=f"127.0.0.1:{ports[1]}",
            metrics_port=ports[2],
        )
        self.seen = {}
        self.lines = _Lines()

    def _url(self, address):
        return f"http://{address}"

    async def run(self):
        """Play the scenario against the process's listeners."""
        system = fakes.System(
            {"e1": "answer"}, fakes.table("unsafe", False, 1)
        )
        logger = logging.getLogger(node_module.__name__)
        logger.addHandler(self.lines)
        logger.setLevel(logging.INFO)
        changed = dataclasses.replace(self.settings, retry_slack=7)
        async with upstream_module.Upstream(
            lambda idle_timeout_s: httpx.MockTransport(system.endpoints.handle)
        ) as upstream:
            node = node_module.Node(
                self.settings,
                _QuietStore(),
                upstream,
                plain_wire,
                metrics.Metrics("n1"),
                random.Random(1),
            )
            node.view.table = system.view.table
            # The quiet store lists no endpoint, so it comes after the read.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    node_module.serve, node, self.settings, lambda: changed
                )
                await self._wait_listening()
                node.view.registry.put(system.endpoints.endpoint("e1"))
                await self._ask()
        logger.removeHandler(self.lines)

    async def _wait_listening(self):
        with trio.fail_after(START_S):
            while True:
                try:
                    async with httpx.AsyncClient() as client:
                        await client.get(
                            self._url(self.settings.ready_address) + "/r"
                        )
                    return
                except httpx.ConnectError:
                    await trio.sleep(0.05)

    async def _ask(self):
        callers = self._url(self.settings.callers_address) + "/a"
        ready = self._url(self.settings.ready_address) + "/r"
        metrics = (
            f"http://{self.settings.address}:{self.settings.metrics_port}"
            "/metrics"
        )
        headers = {"x-request": "r1", "host": fakes.HOST}
        async with (
            httpx.AsyncClient() as kept,
            httpx.AsyncClient() as other,
            trio.open_nursery() as nursery,
        ):
            answer = await kept.post(callers, headers=headers, content=b"b")
            self.seen["answer"] = answer
            self.seen["ready"] = (await other.get(ready)).status_code
            self.seen["metrics"] = (await other.get(metrics)).text
            idle = await self._idle_connection()
            # A request that runs on must not keep the connection open.
            nursery.start_soon(self._ask_slowly)
            await trio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGHUP)
            await trio.sleep(0.2)
            stopped_at = trio.current_time()
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(0.3)
            self.seen["ready after"] = (await other.get(ready)).status_code
            self.seen["last"] = await kept.post(
                callers, headers=headers, content=b"b"
            )
            self.stopped_at = stopped_at
            self.seen["idle"] = None
            with trio.move_on_after(STOP_S):
                assert await idle.receive_some() == b""
                self.seen["idle"] = trio.current_time() - stopped_at
            await idle.aclose()

    async def _ask_slowly(self):
        """Ask for what is never answered."""
        url = self._url(self.settings.callers_address) + "/slow"
        async with httpx.AsyncClient(timeout=START_S + STOP_S) as client:
            try:
                await client.post(
                    url, headers={"x-request": "r3", "host": fakes.HOST}
                )
            except httpx.HTTPError:
                return

    async def _idle_connection(self):
        """Open a connection and use it once."""
        host, _, port = self.settings.callers_address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(
            b"POST /a HTTP/1.1\r\nHost: h.example\r\nX-Request: r2\r\n"
            b"Content-Length: 1\r\n\r\nb"
        )
        received = b""
        while not received.endswith(b"ok"):
            received += await stream.receive_some()
        return stream


@behave.given("a gateway that knows a configuration and one endpoint")
def given_gateway(context):
    """Make a gateway."""
    context.process = _Process()


@behave.when("a caller asks it over a kept connection")
def ask(context):
    """Play the whole scenario; the steps after it look at what was seen."""

    async def run():
        with trio.fail_after(START_S + STOP_S + 5.0):
            await context.process.run()
        context.took_s = trio.current_time() - context.process.stopped_at

    trio.run(run)


@behave.then("the caller gets the endpoint's answer byte for byte")
def check_answer(context):
    """Compare the answer."""
    answer = context.process.seen["answer"]
    assert (answer.status_code, answer.content) == (200, b"ok"), answer
    assert answer.headers["x-endpoint"] == "yes"


@behave.then("the readiness question gets {status:d}")
def check_ready(context, status):
    """Compare the status, before or after the stop."""
    key = "ready" if status == 200 else "ready after"
    assert context.process.seen[key] == status, context.process.seen


@behave.then("the metrics count one request")
def check_metrics(context):
    """Look for the counter."""
    text = context.process.seen["metrics"]
    lines = [
        line
        for line in text.splitlines()
        if line.startswith("wasabilanding_requests") and line.endswith(" 1.0")
    ]
    assert len(lines) == 1, text


@behave.when("the settings file changes and the process is told")
def reload_settings(context):
    """Was played with the scenario."""


@behave.then("its log names what has changed")
def check_reload(context):
    """Look for the line."""
    found = [
        record.changed
        for record in context.process.lines.records
        if record.getMessage() == "reloads"
    ]
    assert found == [["retry_slack"]], found


@behave.when("the process is told to stop")
def stop(context):
    """Was played with the scenario."""


@behave.then("the next answer on the kept connection closes it")
def check_close(context):
    """Look for the header."""
    last = context.process.seen["last"]
    assert last.status_code == 200, last
    assert last.headers["connection"] == "close", last.headers


@behave.then("an idle connection is closed within {bound:g} s")
def check_idle(context, bound):
    """Compare the time from the signal."""
    closed_s = context.process.seen["idle"]
    assert closed_s is not None and closed_s <= bound, closed_s


@behave.then("the process ends within {bound:g} s")
def check_end(context, bound):
    """Compare the time from the signal."""
    assert context.took_s <= bound, context.took_s
