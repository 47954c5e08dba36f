"""HTTP face of one stand-in engine."""

import collections.abc
import dataclasses
import json

import quart
import quart_trio

from wasabilanding.standins import batching
from wasabilanding.standins import engine as engine_module

DEFAULT_LENGTH = 16


def _event(run: engine_module.Run, offset: int) -> bytes:
    chunk = {
        "id": f"chatcmpl-{run.attempt_id}",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": run.part(offset)}}],
    }
    return f"id: {offset}\ndata: {json.dumps(chunk)}\n\n".encode()


async def _events(
    run: engine_module.Run, offset: int
) -> collections.abc.AsyncIterator[bytes]:
    while True:
        while offset < run.generated:
            yield _event(run, offset)
            offset += 1
        if run.state == "finished":
            yield b"data: [DONE]\n\n"
            return
        if run.state != "running":
            raise ConnectionAbortedError(f"{run.attempt_id} {run.state}")
        await run.changed.wait()


def _stream(run: engine_module.Run, offset: int) -> quart.Response:
    response = quart.Response(
        _events(run, offset), content_type="text/event-stream"
    )
    response.timeout = None
    return response


def _prompt(body: dict) -> str:
    return "\n".join(str(m["content"]) for m in body["messages"])


def _add_streams(app: quart.Quart, engine: engine_module.Engine) -> None:
    @app.post("/v1/chat/completions")
    async def complete() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        headers = quart.request.headers
        meant = (
            headers["X-Replica-Id"],
            int(headers["X-Replica-Epoch"]),
        )
        if meant != (engine.replica_id, engine.epoch):
            return {"error": f"not in replica {meant}"}, 409
        if engine.leaving or engine.draining or not engine.is_whole():
            return {"error": "replica is not whole or leaving"}, 503
        if engine.is_full:
            return {"error": "batch and queue are full"}, 503
        length = int(body.get("max_tokens") or DEFAULT_LENGTH)
        priority = int(headers.get("X-Priority", batching.DEFAULT_PRIORITY))
        run = engine.start(
            headers["X-Attempt-Id"], _prompt(body), length, priority
        )
        return _stream(run, 0)

    @app.get("/v1/streams/<attempt_id>")
    async def resume(attempt_id: str) -> quart.ResponseReturnValue:
        run = engine.runs.get(attempt_id)
        if run is None:
            return {"error": f"attempt {attempt_id} is unknown"}, 404
        return _stream(run, int(quart.request.args["offset"]))

    @app.delete("/v1/streams/<attempt_id>")
    async def cancel(attempt_id: str) -> quart.ResponseReturnValue:
        run = engine.runs.get(attempt_id)
        if run:
            run.end("cancelled")
        return {}


def engine_app(engine: engine_module.Engine) -> quart_trio.QuartTrio:
    """Return the HTTP app of one engine.

    :param engine: the engine.
    """
    app = quart_trio.QuartTrio(f"engine-{engine.vm}")
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
        if engine.refuses(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.fleet.nursery.start_soon(engine.load, body["replica"])
        return {}

    @app.post("/v1/orders/release")
    async def release() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.refuses(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.release(body["replica_id"], body["epoch"])
        return {}

    @app.post("/v1/orders/drain")
    async def drain() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.refuses(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        engine.drain(body["replica_id"], body["epoch"])
        return {}

    @app.post("/v1/orders/preload")
    async def preload() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        if engine.refuses(body["fence"]):
            return {"error": f"fence {body['fence']} is old"}, 409
        wanted = engine_module.weights_name(body)
        engine.fleet.nursery.start_soon(engine.preload, wanted)
        return {}
