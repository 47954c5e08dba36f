"""HTTP interface of the simulated platform, with injected faults."""

import dataclasses

import quart
import quart_trio
import trio

from wasabilanding import metadata
from wasabilanding.standins import items_http
from wasabilanding.standins import rate_limit
from wasabilanding.standins import store as store_module

WEIGHT_FETCH_S = 0.5
READS_PER_S = 2000
WRITES_PER_S = 500
READ_METHOD = "GET"
WEIGHTS_PATH = "/v1/weights/"
HTTP_TOO_MANY_REQUESTS = 429


@dataclasses.dataclass
class PlatformFaults:
    """Faults that the simulated platform injects.

    :param down: whether every call fails with status 503.
    :param delay_s: delay added to every call, in seconds.
    :param lose_answers: number of next writes that take effect but whose
        answer is lost.
    :param list_lag_s: age of the returned VM list, in seconds.
    :param restore_age_s: age in seconds of the copy from which the store is
        restored once, when the fault is set; 0 for none.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0
    restore_age_s: float = 0.0


@dataclasses.dataclass
class PlatformState:
    """State of the simulated platform.

    :param store: the key-value store.
    :param faults: active faults.
    :param vms: VM lists, each with the time from which it is valid.
    :param weight_fetch_s: duration of one fetch of weights, in seconds.
    :param weight_fetches: limits concurrent fetches of weights.
    :param reads: rate limit of reads.
    :param writes: rate limit of writes.
    """

    store: store_module.Store
    faults: PlatformFaults = dataclasses.field(default_factory=PlatformFaults)
    vms: list[tuple[float, list[dict]]] = dataclasses.field(
        default_factory=lambda: [(float("-inf"), [])]
    )
    weight_fetch_s: float = WEIGHT_FETCH_S
    weight_fetches: trio.CapacityLimiter = dataclasses.field(
        default_factory=lambda: trio.CapacityLimiter(4)
    )

    reads: rate_limit.RateLimit = dataclasses.field(
        default_factory=lambda: rate_limit.RateLimit(READS_PER_S)
    )
    writes: rate_limit.RateLimit = dataclasses.field(
        default_factory=lambda: rate_limit.RateLimit(WRITES_PER_S)
    )

    def allow_call(self, method: str, path: str) -> bool:
        """Count a call and return whether it is within the rate limits.

        A watch counts as one read. Calls to the weight store are not counted;
        ``weight_fetches`` limits them.

        :param method: HTTP method.
        :param path: path of the call.
        """
        if path.startswith(WEIGHTS_PATH):
            return True
        limit = self.reads if method == READ_METHOD else self.writes
        return limit.allow()

    def visible_vms(self) -> list[dict]:
        """Return the VM list as it was ``list_lag_s`` ago."""
        listed_before = trio.current_time() - self.faults.list_lag_s
        return [vms for since, vms in self.vms if since <= listed_before][-1]


def _stored(found: store_module.Stored | None) -> quart.ResponseReturnValue:
    if found is None:
        return {"error": "not found"}, 404
    return {"value": found.value, "revision": found.revision}


def _add_keys(app: quart.Quart, state: PlatformState) -> None:
    @app.get("/v1/kv/<path:key>")
    async def get(key: str) -> quart.ResponseReturnValue:
        return _stored(state.store.get(key))

    @app.put("/v1/kv/<path:key>")
    async def put(key: str) -> quart.ResponseReturnValue:
        text = (await quart.request.get_data()).decode()
        if len(text.encode()) > store_module.MAX_VALUE_BYTES:
            return {"error": "value is larger than 1,000,000 bytes"}, 413
        expected = int(quart.request.args["expected"])
        lease_id = quart.request.args.get("lease", "")
        stored = state.store.put(key, text, expected, lease_id)
        if stored is None:
            found = state.store.get(key)
            return {"revision": found.revision if found else 0}, 409
        if state.faults.lose_answers > 0:
            state.faults.lose_answers -= 1
            return {"error": "injected fault: answer lost"}, 504
        return {"revision": stored.revision}

    @app.get("/v1/watch/<path:key>")
    async def watch(key: str) -> quart.ResponseReturnValue:
        after = int(quart.request.args["after"])
        timeout_s = float(quart.request.args["timeout"])
        found = await state.store.wait_newer(key, after, timeout_s)
        if state.faults.down:
            return {"error": "the service is down"}, 503
        return _stored(found)


def _add_leases(app: quart.Quart, state: PlatformState) -> None:
    @app.post("/v1/leases")
    async def grant() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        return {"lease_id": state.store.grant(body["ttl_s"])}

    @app.post("/v1/leases/<lease_id>/renew")
    async def renew(lease_id: str) -> quart.ResponseReturnValue:
        ttl_s = state.store.renew(lease_id)
        if ttl_s is None:
            return {"error": f"lease {lease_id} has expired"}, 404
        return {"ttl_s": ttl_s}

    @app.delete("/v1/leases/<lease_id>")
    async def revoke(lease_id: str) -> quart.ResponseReturnValue:
        state.store.revoke(lease_id)
        return {}


def _add_vms(app: quart.Quart, state: PlatformState) -> None:
    @app.get("/v1/vms")
    async def vms() -> quart.ResponseReturnValue:
        domain = quart.request.args.get("failure_domain")
        return quart.jsonify(
            [
                vm
                for vm in state.visible_vms()
                if domain in (None, vm["failure_domain"])
            ]
        )

    @app.get("/v1/weights/<path:name>")
    async def weights(name: str) -> quart.ResponseReturnValue:
        async with state.weight_fetches:
            await trio.sleep(state.weight_fetch_s)
        return {"weights": name}


def _add_controls(app: quart.Quart, state: PlatformState) -> None:
    @app.put("/standin/vms")
    async def set_vms() -> quart.ResponseReturnValue:
        vms = await quart.request.get_json()
        state.vms.append((trio.current_time(), vms))
        return {}

    @app.put("/standin/faults")
    async def set_faults() -> quart.ResponseReturnValue:
        body = await quart.request.get_json()
        state.faults = PlatformFaults(**body)
        if state.faults.restore_age_s:
            state.store.restore(state.faults.restore_age_s)
        return {}

    @app.get("/standin/calls")
    async def calls() -> quart.ResponseReturnValue:
        return dict(state.store.calls)


def platform_app(state: PlatformState) -> quart_trio.QuartTrio:
    """Return the HTTP application of the simulated platform.

    :param state: state of the platform.
    """
    app = quart_trio.QuartTrio("platform")
    _add_keys(app, state)
    items_http.add_items(app, state.store)
    _add_leases(app, state)
    _add_vms(app, state)
    _add_controls(app, state)

    @app.before_request
    async def apply_limits_and_faults() -> quart.ResponseReturnValue | None:
        if quart.request.path.startswith("/standin/"):
            return None
        endpoint = quart.request.endpoint or "unknown"
        state.store.calls[endpoint] += 1
        if not state.allow_call(quart.request.method, quart.request.path):
            return {"error": "rate limit exceeded"}, HTTP_TOO_MANY_REQUESTS
        if state.faults.delay_s:
            await trio.sleep(state.faults.delay_s)
        if state.faults.down:
            return {"error": "the service is down"}, 503
        return None

    @app.after_request
    async def state_era(response: quart.Response) -> quart.Response:
        response.headers[metadata.ERA_HEADER] = str(state.store.era)
        return response

    return app
