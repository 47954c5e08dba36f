"""HTTP interface and registration of an engine that registers itself."""

import collections.abc
import contextlib
import json
import random
import time

import quart
import quart_trio
import trio

from wasabilanding import fleet
from wasabilanding.gateway import plain_wire
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding.standins import registered_engine

LEASE_TTL_S = 1.5
RENEW_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.005
DEFAULT_EVENTS = 8
HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
EVENTS_TYPE = "text/event-stream"
PADDING = "."
ENDS = registered_engine.RunEnd
Headers = collections.abc.Mapping[str, str]


class ConnectionDropped(ConnectionAbortedError):
    """The engine stopped or left its replica while it sent an answer."""


async def _run_for(
    engine: registered_engine.Engine, life: int, seconds: float
) -> None:
    """Wait until an engine has run for some time; pauses do not count.

    :raises ConnectionDropped: when the engine stops or restarts.
    """
    remaining_s = seconds
    while remaining_s > 0 or not engine.can_run:
        if engine.life != life or not engine.alive:
            raise ConnectionDropped(f"{engine.endpoint_id} stopped")
        pause_s = min(max(remaining_s, POLL_INTERVAL_S), POLL_INTERVAL_S * 4)
        await trio.sleep(pause_s)
        if engine.can_run:
            remaining_s -= pause_s


@contextlib.contextmanager
def _track_run(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    number: int,
) -> collections.abc.Iterator[int]:
    """Count a run in flight, yield the engine's start count, record the end.

    :param number: number of the run.
    """
    life = engine.life
    engine.in_flight += 1
    end = ENDS.CANCELLED
    try:
        yield life
        end = ENDS.COMPLETE
    except ConnectionDropped:
        end = ENDS.BROKE_OFF
        raise
    finally:
        if engine.life == life:
            engine.in_flight -= 1
        if end is ENDS.CANCELLED and not (
            engine.alive and engine.life == life
        ):
            end = ENDS.BROKE_OFF
        fabric.end_run(number, end)


async def _events(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    run: int,
    numbers: range,
    padding: str,
) -> collections.abc.AsyncIterator[bytes]:
    replica_key = engine.replica_key
    event_s = fabric.settings.event_s
    with _track_run(engine, fabric, run) as life:
        for number in numbers:
            await _run_for(engine, life, event_s)
            if engine.replica_key != replica_key:
                raise ConnectionDropped(f"{engine.endpoint_id} left a replica")
            yield event_text(number, padding).encode()


def event_text(number: int, padding: str = "") -> str:
    """Return an event of a stream.

    :param number: number of the event.
    :param padding: text that makes the event larger.
    """
    piece = (
        {"piece": number, "padding": padding} if padding else {"piece": number}
    )
    return f"id: {number}\ndata: {json.dumps(piece)}\n\n"


def _refusal_status(
    engine: registered_engine.Engine, headers: Headers, max_in_flight: int
) -> int | None:
    if headers.get("x-endpoint") != engine.endpoint_id:
        return HTTP_MISDIRECTED
    if not engine.accepts_requests:
        return HTTP_MISDIRECTED
    if engine.in_flight >= max_in_flight:
        return HTTP_UNAVAILABLE
    return None


def _random_refusal(share: float) -> int | None:
    return HTTP_UNAVAILABLE if random.random() < share else None


def _execute_order(
    engine: registered_engine.Engine, order: plain_wire.OrderBody
) -> int:
    replica_key = order.replica, order.epoch
    match order.kind:
        case "join":
            return engine.join(*replica_key, order.model, order.members)
        case "open":
            return engine.open(*replica_key)
        case "close":
            return engine.close(*replica_key, order.at_once)
        case "leave":
            return engine.leave(*replica_key)
        case "stage":
            return engine.stage(order.model)
    return registered_engine.HTTP_BAD_REQUEST


def registered_app(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    crash: collections.abc.Callable[[str], None],
) -> quart_trio.QuartTrio:
    """Return the HTTP application of one engine.

    :param engine: engine that the application serves.
    :param fabric: the engines of its failure domain.
    :param crash: ends the engine with an identity and starts it again later.
    """
    app = quart_trio.QuartTrio("registered")

    @app.before_request
    async def refuse() -> quart.ResponseReturnValue | None:
        request_id = quart.request.headers.get("x-request", "")
        fabric.record_arrival(engine, request_id)
        if not engine.retry_after:
            return None
        headers = {
            "x-request": request_id,
            "x-not-run": "1",
            "retry-after": engine.retry_after,
        }
        return {"error": "busy"}, HTTP_UNAVAILABLE, headers

    @app.after_request
    async def announce(response: quart.Response) -> quart.Response:
        if engine.announces_leaving:
            response.headers["x-leaving"] = "1"
        if engine.limit:
            response.headers["x-limit"] = engine.limit
        cold_left_s = engine.cold.left_s(trio.current_time())
        if cold_left_s:
            response.headers["x-cold-s"] = f"{cold_left_s:.3f}"
        return response

    @app.post("/v1/orders")
    async def orders() -> quart.ResponseReturnValue:
        text = await quart.request.get_data()
        status = _execute_order(
            engine, model.decode(plain_wire.OrderBody, text)
        )
        return {"life": engine.life}, status

    @app.get("/v1/report")
    async def report() -> quart.ResponseReturnValue:
        found = plain_wire.Report(engine.membership)
        return model.encode(found), 200, {"Content-Type": "application/json"}

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def serve(path: str) -> quart.ResponseReturnValue:
        request = quart.request
        body = (await request.get_data()).decode(errors="replace")
        response_headers = {"x-request": request.headers.get("x-request", "")}
        queue = 0 if engine.fabric_domain else fabric.settings.queue
        refusal_status = _refusal_status(
            engine, request.headers, fabric.settings.slots + queue
        )
        if refusal_status is None and not engine.fabric_domain:
            refusal_status = _random_refusal(fabric.settings.refused_share)
        if refusal_status != HTTP_MISDIRECTED:
            _check_cold(engine, fabric, crash)
        if refusal_status is not None:
            return (
                {"error": "not run"},
                refusal_status,
                {**response_headers, "x-not-run": "1"},
            )
        run = fabric.begin_run(_run_entry(engine, fabric, body))
        if registered_engine.CRASH_MARKER in request.path:
            with _track_run(engine, fabric, run) as life:
                await _run_for(engine, life, fabric.settings.crash_after_s)
                crash(engine.endpoint_id)
                await _run_for(engine, life, 0.0)
        if registered_engine.ends_engine(fabric.runs[run].parts):
            return _ending_answer(engine, fabric, run, response_headers, crash)
        if engine.fabric_domain:
            return _stream(engine, fabric, run, response_headers)
        with _track_run(engine, fabric, run) as life:
            async with engine.free_slots:
                await _run_for(engine, life, fabric.settings.work_s)
        answer = {"endpoint": engine.endpoint_id, "body": body}
        return answer, HTTP_OK, response_headers

    return app


def _check_cold(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    crash: collections.abc.Callable[[str], None],
) -> None:
    """End an engine that gets too many requests while it is cold.

    :raises ConnectionDropped: if so.
    """
    if not engine.cold.is_overloaded_by_one(trio.current_time()):
        return
    fabric.violations.append(
        f"{engine.endpoint_id} ends, as it is cold and gets "
        f"{engine.cold.largest} requests in a second"
    )
    crash(engine.endpoint_id)
    raise ConnectionDropped(f"{engine.endpoint_id} stopped")


def _run_entry(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    body: str,
) -> registered_engine.RunEntry:
    headers = quart.request.headers
    plain = not engine.fabric_domain
    return registered_engine.RunEntry(
        request_id=headers.get("x-request", ""),
        endpoint=engine.endpoint_id,
        life=engine.life,
        path=quart.request.full_path.rstrip("?"),
        customer=headers.get("x-customer", ""),
        body=body,
        whole=plain or fabric.had_all_members_ready(engine),
        begun_at=time.time(),
        parts=headers.get(plain_wire.PARTS.decode(), ""),
    )


def _ending_answer(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    run: int,
    response_headers: dict[str, str],
    crash: collections.abc.Callable[[str], None],
) -> quart.Response:
    """Return an answer whose engine ends once its head has been sent."""

    async def begin() -> collections.abc.AsyncIterator[bytes]:
        with _track_run(engine, fabric, run) as life:
            await _run_for(engine, life, fabric.settings.crash_after_s)
            crash(engine.endpoint_id)
            await _run_for(engine, life, 0.0)
        yield b""

    is_stream = bool(engine.fabric_domain)
    headers = {**response_headers, "x-events": "1"}
    response = quart.Response(
        begin(),
        content_type=EVENTS_TYPE if is_stream else "application/json",
        headers=headers if is_stream else response_headers,
    )
    response.timeout = None
    return response


def _stream(
    engine: registered_engine.Engine,
    fabric: registered_engine.Fabric,
    run: int,
    response_headers: dict[str, str],
) -> quart.Response:
    headers = quart.request.headers
    count = int(headers.get("x-events-wanted", DEFAULT_EVENTS))
    first = int(headers.get("x-resumes-after", -1)) + 1
    numbers = range(first, count)
    padding = PADDING * int(headers.get("x-padding-bytes", 0))
    events = _events(engine, fabric, run, numbers, padding)
    response = quart.Response(
        events,
        content_type=EVENTS_TYPE,
        headers={**response_headers, "x-events": "1"},
    )
    response.timeout = None
    return response


async def keep_registered(
    engine: registered_engine.Engine,
    store: metadata.ItemStore,
    host: str,
    port: int,
) -> None:
    """Keep the registration of an engine in the store; never returns.

    :param engine: the engine to register.
    :param store: item store of the platform.
    :param host: address of the engine's listener.
    :param port: port of the engine's listener.
    """
    lease = None
    written = None
    while True:
        changed = engine.changed
        if not engine.alive or engine.paused:
            lease = written = None
            await changed.wait()
            continue
        registration = engine.registration(host, port)
        if lease is None:
            granted = await store.grant_lease(LEASE_TTL_S)
            lease = granted if isinstance(granted, metadata.Lease) else None
            written = None
        elif registration == written:
            renewed = await store.renew_lease(lease)
            if isinstance(renewed, metadata.Missing):
                lease = None
                continue
        if lease is not None and not _is_written(registration, written):
            written = await _write(engine, store, registration, lease)
            # A failed write may mean that the lease expired: get a new one.
            lease = lease if written else None
        with trio.move_on_after(
            RENEW_INTERVAL_S if written else RETRY_INTERVAL_S
        ):
            await changed.wait()


def _is_written(
    registration: fleet.Endpoint, written: fleet.Endpoint | None
) -> bool:
    """Return whether the store has a registration, and its remaining time."""
    if registration != written:
        return False
    return registration.cold_left_s == written.cold_left_s


async def _write(
    engine: registered_engine.Engine,
    store: metadata.ItemStore,
    registration: object,
    lease: metadata.Lease,
) -> object | None:
    """Write a registration and return it, or None if the write failed."""
    key = f"{plain_wire.registrations_prefix}{engine.endpoint_id}"
    result = await store.put_all(
        {key: model.encode(registration).encode()}, lease
    )
    return registration if isinstance(result, metadata.Written) else None
