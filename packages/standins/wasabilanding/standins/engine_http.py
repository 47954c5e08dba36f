"""HTTP interface of one simulated engine."""

import collections.abc
import dataclasses
import json

import quart
import quart_trio
import trio

from wasabilanding.standins import batching
from wasabilanding.standins import engine as engine_module
from wasabilanding.standins import faults

DEFAULT_LENGTH = 16
DONE = b"[DONE]"
BREAK_KINDS = {
    faults.FaultKind.BREAK_BETWEEN,
    faults.FaultKind.FAIL_RUN,
    faults.FaultKind.FORGET,
}
SILENCE_KINDS = {
    faults.FaultKind.SILENT_BEFORE_FIRST,
    faults.FaultKind.SILENT_BETWEEN,
}


def _event(run: engine_module.Run, offset: int) -> bytes:
    chunk = {
        "id": f"chatcmpl-{run.attempt_id}",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": run.part(offset)}}],
    }
    return f"id: {offset}\ndata: {json.dumps(chunk)}\n\n".encode()


def _end(run: engine_module.Run) -> bytes:
    return f"id: {run.length}\ndata: {DONE.decode()}\n\n".encode()


async def _events(
    run: engine_module.Run, offset: int
) -> collections.abc.AsyncIterator[bytes]:
    while True:
        while offset < run.generated:
            yield _event(run, offset)
            offset += 1
        if run.state == "finished":
            yield _end(run)
            return
        if run.state != "running":
            raise ConnectionAbortedError(f"{run.attempt_id} {run.state}")
        await run.changed.wait()


async def _reordered(
    events: collections.abc.AsyncIterator[bytes],
) -> collections.abc.AsyncIterator[bytes]:
    delayed = b""
    async for event in events:
        if delayed:
            yield event
            yield delayed
            delayed = b""
        else:
            delayed = event
    yield delayed


async def _faulty_events(
    engine: engine_module.Engine, run: engine_module.Run, fault: faults.Fault
) -> collections.abc.AsyncIterator[bytes]:
    events = _events(run, 0)
    if fault.kind is faults.FaultKind.REORDER:
        events = _reordered(events)
    count = 0
    async for event in events:
        last = DONE in event
        if fault.kind is faults.FaultKind.BREAK_BEFORE_END and last:
            raise ConnectionAbortedError("injected break before the end")
        if count == fault.after_parts:
            if fault.kind is faults.FaultKind.FORGET:
                del engine.runs[run.attempt_id]
            if fault.kind is faults.FaultKind.FAIL_RUN:
                engine.fail_runs()
            if fault.kind in BREAK_KINDS:
                raise ConnectionAbortedError("injected break between parts")
            if fault.kind in SILENCE_KINDS:
                await trio.sleep_forever()
            if fault.kind is faults.FaultKind.ERROR_EVENT:
                yield b'data: {"error": {"message": "out of memory"}}\n\n'
                return
            if fault.kind is faults.FaultKind.END_EARLY:
                yield _end(run)
        yield _alter_event(event, fault.kind, count == fault.after_parts)
        count += 1


def _alter_event(
    event: bytes, kind: faults.FaultKind, is_fault_position: bool
) -> bytes:
    if kind is faults.FaultKind.REPEAT:
        return event + event
    if kind is faults.FaultKind.LOSE_PART and is_fault_position:
        return b""
    if kind is faults.FaultKind.COMMENT:
        return b": still here\r\n\r\n" + event.replace(b"\n", b"\r\n")
    return event


def _stream(
    events: collections.abc.AsyncIterator[bytes],
) -> quart.Response:
    response = quart.Response(events, content_type="text/event-stream")
    response.timeout = None
    return response


def _fail_before_start(
    kind: faults.FaultKind | None,
) -> quart.ResponseReturnValue | None:
    if kind is faults.FaultKind.BREAK_BEFORE_START:
        raise ConnectionAbortedError("injected break before the start")
    if kind is faults.FaultKind.REFUSE_BEFORE_START:
        return {"error": "batch is full"}, 503
    if kind is faults.FaultKind.REJECT:
        return {"error": "prompt is too long"}, 400
    return None


def _fail_after_start(
    kind: faults.FaultKind | None,
) -> quart.ResponseReturnValue | None:
    if kind is faults.FaultKind.BREAK_AFTER_START:
        raise ConnectionAbortedError("injected break after the start")
    if kind is faults.FaultKind.REFUSE_AFTER_START:
        return {"error": "batch is full"}, 503
    if kind is faults.FaultKind.FAIL_AFTER_START:
        return {"error": "internal error"}, 500
    return None


def _prompt(body: dict) -> str:
    return "\n".join(str(m["content"]) for m in body["messages"])


def _add_streams(app: quart.Quart, engine: engine_module.Engine) -> None:
    @app.post("/v1/chat/completions")
    async def complete() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        headers = quart.request.headers
        requested = (
            headers["X-Replica-Id"],
            int(headers["X-Replica-Epoch"]),
        )
        if requested != (engine.replica_id, engine.epoch):
            return {"error": f"not in replica {requested}"}, 409
        if engine.leaving or engine.draining or not engine.is_whole():
            return {"error": "replica is incomplete, draining or leaving"}, 503
        if engine.is_full:
            return {"error": "batch and queue are full"}, 503
        fault = engine.faults.popleft() if engine.faults else None
        if answer := _fail_before_start(fault and fault.kind):
            return answer
        length = int(body.get("max_tokens") or DEFAULT_LENGTH)
        priority = int(headers.get("X-Priority", batching.DEFAULT_PRIORITY))
        run = engine.start(
            headers["X-Attempt-Id"], _prompt(body), length, priority
        )
        if answer := _fail_after_start(fault and fault.kind):
            return answer
        if fault:
            return _stream(_faulty_events(engine, run, fault))
        return _stream(_events(run, 0))

    @app.get("/v1/streams/<attempt_id>")
    async def resume(attempt_id: str) -> quart.ResponseReturnValue:
        run = engine.runs.get(attempt_id)
        if run is None:
            return {"error": f"attempt {attempt_id} is unknown"}, 404
        return _stream(_events(run, int(quart.request.args["offset"])))

    @app.delete("/v1/streams/<attempt_id>")
    async def cancel(attempt_id: str) -> quart.ResponseReturnValue:
        run = engine.runs.get(attempt_id)
        if run:
            run.end("cancelled")
        return {}


def engine_app(engine: engine_module.Engine) -> quart_trio.QuartTrio:
    """Return the HTTP application of one engine.

    :param engine: engine that the application serves.
    """
    app = quart_trio.QuartTrio(f"engine-{engine.vm}")
    # An injected fault breaks the connection; without this setting, Quart
    # would answer with status 500.
    app.config["PROPAGATE_EXCEPTIONS"] = True
    _add_streams(app, engine)

    @app.before_request
    async def wait_while_paused() -> None:
        await engine.paused.wait()

    @app.get("/v1/status")
    async def status() -> quart.ResponseReturnValue:
        return engine.status()

    @app.get("/v1/cache-events")
    async def cache_events() -> quart.ResponseReturnValue:
        after = int(quart.request.args.get("after", 0))
        return dataclasses.asdict(engine.cache_events(after))

    _add_orders(app, engine)
    return app


def _add_orders(app: quart.Quart, engine: engine_module.Engine) -> None:
    @app.post("/v1/orders/load")
    async def load() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.rejects_fence(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.fleet.nursery.start_soon(engine.load, body["replica"])
        return {}

    @app.post("/v1/orders/release")
    async def release() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.rejects_fence(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.release(body["replica_id"], body["epoch"])
        return {}

    @app.post("/v1/orders/drain")
    async def drain() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.rejects_fence(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.drain(body["replica_id"], body["epoch"])
        return {}

    @app.post("/v1/orders/preload")
    async def preload() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.rejects_fence(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        wanted = engine_module.weights_name(body)
        engine.fleet.nursery.start_soon(engine.preload, wanted)
        return {}
