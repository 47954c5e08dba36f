"""Engine and relay processes of the relay benchmark."""

import collections.abc
import json
import random
import time
import typing

import httpx
import quart
import quart_trio
import trio
import typer

from wasabilanding import callers
from wasabilanding.configuration import document
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import requests
from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import peers
from wasabilanding.standins import listening

SERVICE = "benchmark"
VM = "engine"
FAILURE_DOMAIN = "loopback"
MEASURE_START_SHARE = 0.25
MEASURE_END_SHARE = 0.9
US_PER_S = 1_000_000

app = typer.Typer()


class PartCostMeter:
    """Measures the processor time per relayed part.

    The measurement starts after a share of the parts and stops before the
    last ones, so that it excludes the start and the end of the streams.

    :param expected: number of parts of the whole run.
    """

    def __init__(self, expected: int) -> None:
        self._start_count = int(expected * MEASURE_START_SHARE)
        self._end_count = int(expected * MEASURE_END_SHARE)
        self._count = 0
        self._start_reading = (0, 0.0)
        self.cost_us = 0.0

    def add_parts(self, count: int) -> None:
        """Count relayed parts.

        :param count: number of parts.
        """
        previous_count = self._count
        self._count += count
        if previous_count < self._start_count <= self._count:
            self._start_reading = (self._count, time.process_time())
        if previous_count < self._end_count <= self._count:
            parts = self._count - self._start_reading[0]
            spent_s = time.process_time() - self._start_reading[1]
            self.cost_us = spent_s / parts * US_PER_S


def _event(offset: int) -> bytes:
    chunk = {
        "id": "chatcmpl-benchmark",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": f"token-{offset} "}}],
    }
    return f"id: {offset}\ndata: {json.dumps(chunk)}\n\n".encode()


def engine_app(rate: int, length: int) -> quart_trio.QuartTrio:
    """Return an engine that sends one event per token.

    :param rate: tokens per second of one stream.
    :param length: number of tokens of one stream.
    """
    application = quart_trio.QuartTrio("engine")

    @application.get("/healthz")
    async def live() -> quart.ResponseReturnValue:
        return {}

    async def events() -> collections.abc.AsyncIterator[bytes]:
        started_s = trio.current_time()
        for offset in range(length):
            yield _event(offset)
            await trio.sleep_until(started_s + (offset + 1) / rate)
        yield b"data: [DONE]\n\n"

    @application.post("/v1/chat/completions")
    async def complete() -> quart.Response:
        response = quart.Response(events(), content_type="text/event-stream")
        response.timeout = None
        return response

    return application


def plain_app(
    http: httpx.AsyncClient, engine_url: str, meter: PartCostMeter
) -> quart_trio.QuartTrio:
    """Return the plain relay.

    :param http: HTTP client.
    :param engine_url: base URL of the engine.
    :param meter: measures the processor time per part.
    """
    application = quart_trio.QuartTrio("plain")
    url = f"{engine_url}/v1/chat/completions"

    async def relay(body: bytes) -> collections.abc.AsyncIterator[bytes]:
        async with http.stream("POST", url, content=body) as response:
            async for line in response.aiter_lines():
                if line.startswith("data: "):
                    meter.add_parts(1)
                    yield f"{line}\n\n".encode()

    @application.post("/v1/chat/completions")
    async def complete() -> quart.Response:
        body = await quart.request.get_data()
        response = quart.Response(
            relay(body), content_type="text/event-stream"
        )
        response.timeout = None
        return response

    return application


class _MeteredService:
    """Request service that counts the parts it yields."""

    def __init__(
        self, service: requests.RequestService, meter: PartCostMeter
    ) -> None:
        self._service = service
        self._meter = meter
        self.ready = True

    async def run(
        self, request: callers.CallerRequest
    ) -> collections.abc.AsyncIterator[list[bytes]]:
        """Run a request and yield its batches of parts."""
        async for batch in self._service.run(request):
            self._meter.add_parts(len(batch))
            yield batch

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._service, name)


def _cluster_state(engine_url: str) -> knowledge.ClusterState:
    profile = model.ReplicaProfile(SERVICE, "m", "v1", 1, 1)
    revision = document.ProfileRevision(1, profile)
    replica = model.ReplicaRecord(
        "r", 1, SERVICE, SERVICE, 1, "m", "v1", "f", (VM,), max_running=4096
    )
    vm = model.Vm(VM, engine_url, FAILURE_DOMAIN, "f")
    cluster_state = knowledge.ClusterState()
    cluster_state.learn_configuration(
        document.Configuration(
            revision=1,
            profiles={SERVICE: document.ProfileHistory((revision,))},
            services={SERVICE: document.ServiceChoice(SERVICE, 1)},
        )
    )
    cluster_state.learn_record(
        model.DomainRecord(FAILURE_DOMAIN, 1, replicas=(replica,))
    )
    cluster_state.learn_listing(knowledge.VmListing(FAILURE_DOMAIN, 1, (vm,)))
    never_outdated = float("inf")
    cluster_state.learn_report(
        model.VmReport(
            VM, model.VmState.READY, "r", 1, observed_at=never_outdated
        )
    )
    return cluster_state


def _add_cost_route(application: quart.Quart, meter: PartCostMeter) -> None:
    @application.get("/benchmark/cost")
    async def cost() -> quart.ResponseReturnValue:
        return {"cost_us": meter.cost_us}


def _context(engine_url: str) -> context_module.Context:
    # Placeholders: the benchmark serves callers on its own port.
    unused_listeners = [settings_module.Listener(port) for port in (1, 2, 3)]
    settings = settings_module.Settings(
        node="benchmark",
        failure_domain=FAILURE_DOMAIN,
        callers=unused_listeners[0],
        administration=unused_listeners[1],
        peers=unused_listeners[2],
        platform_url=engine_url,
    )
    member = membership.Node("benchmark", 1, FAILURE_DOMAIN, "")
    return context_module.Context(
        settings=settings,
        known=_cluster_state(engine_url),
        members=membership.MemberTable(member),
        platform=metadata.PlatformClient(engine_url),
        endpoints=endpoints.EndpointClient(),
        telemetry=telemetry.Telemetry("benchmark"),
        connect_peer=peers.PeerChannel,
        rng=random.Random(1),
    )


async def _run_node(port: int, engine_url: str, parts: int) -> None:
    meter = PartCostMeter(parts)
    context = _context(engine_url)
    async with context.endpoints:
        service = requests.RequestService(context)
        application = callers.callers_app(_MeteredService(service, meter))
        _add_cost_route(application, meter)
        await listening.serve(application, port)


async def _run_plain(port: int, engine_url: str, parts: int) -> None:
    meter = PartCostMeter(parts)
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(limits=limits, timeout=None) as http:
        application = plain_app(http, engine_url, meter)
        _add_cost_route(application, meter)
        await listening.serve(application, port)


@app.command()
def engine(port: int, rate: int, length: int) -> None:
    """Run the engine."""
    trio.run(listening.serve, engine_app(rate, length), port)


@app.command()
def node(port: int, engine_url: str, parts: int) -> None:
    """Run the node's own relay."""
    trio.run(_run_node, port, engine_url, parts)


@app.command()
def plain(port: int, engine_url: str, parts: int) -> None:
    """Run the plain relay."""
    trio.run(_run_plain, port, engine_url, parts)


if __name__ == "__main__":
    app()
