"""Steps for claims in the platform's store."""

import contextlib

import behave
import quart
import quart_trio
import trio

from wasabilanding import claims
from wasabilanding.daemon import claim_store
from wasabilanding.experiments import cluster
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import standins

KEY = claim_store.claim_key("salon", "sheet-1")
ENDED = claims.conclude(
    claims.begin("t1", "node", 1, claims.fingerprint(b"{}")),
    model.completed(),
    answer_kept=True,
)
ORIGIN = "prov"
PLAIN_ADDRESS = "bookings:80"
SECONDS_PER_HOUR = 3600
SECONDS_PER_MINUTE = 60


@contextlib.asynccontextmanager
async def _open_store():
    """Open a claim store with an ended claim and its answer."""
    async with trio.open_nursery() as nursery:
        network = standins.MemoryNetwork(nursery)
        state = standins.PlatformState(standins.Store())
        address = cluster.PLATFORM_ADDRESS
        network.listen(address, standins.platform_app(state), "platform")
        transport = network.transport(ORIGIN)
        async with metadata.PlatformClient(
            f"http://{address}", transport
        ) as client:
            store = claim_store.ClaimStore(client)
            await store.write(KEY, ENDED, 0)
            assert await store.store_answer(ENDED.token, [b"{}"])
            yield store, state
        nursery.cancel_scope.cancel()


async def _after(hours: float) -> tuple[str, str]:
    async with _open_store() as (store, _):
        await trio.sleep(hours * SECONDS_PER_HOUR)
        status = await store.read(KEY)
        answer = await store.answer(ENDED.token)
        return (
            "kept" if status.claim == ENDED else "gone",
            "kept" if answer == [b"{}"] else "gone",
        )


async def _early_lapse() -> list[type]:
    async with _open_store() as (store, state):
        for number in range(1, 5):
            state.store.revoke(f"lease-{number}")
        return [type(await store.write("claims/2", ENDED, 0)) for _ in "12"]


async def _grants(count: int, minutes: float) -> int:
    async with _open_store() as (store, state):
        for number in range(count):
            result = await store.write(f"claims/{number}", ENDED, 0)
            assert isinstance(result, metadata.Written), result
            await trio.sleep(minutes * SECONDS_PER_MINUTE / count)
        return state.store.calls["grant"]


async def _plain_calls(mark: str, key: str, tries: int):
    calls = 0
    app = quart_trio.QuartTrio("bookings")

    @app.post("/book")
    async def book() -> quart.ResponseReturnValue:
        nonlocal calls
        calls += 1
        return quart.Response("done", status=201)

    answers = []
    async with cluster.open_cluster(cluster.Plan()) as system:
        system.network.listen(PLAIN_ADDRESS, app, ORIGIN)
        profile = model.PlainProfile(
            kind="plain",
            name="bookings",
            addresses={ORIGIN: (f"http://{PLAIN_ADDRESS}",)},
        )
        await system.configure("escaparate", profile)
        await trio.sleep(2.0)
        headers = {"X-Non-Idempotent": mark, "Idempotency-Key": key}
        for number in range(tries):
            node = sorted(system.nodes)[number]
            url = f"http://{node}:{cluster.CALLERS_PORT}"
            async with system.client("callers") as http:
                response = await http.post(
                    f"{url}/services/escaparate/book",
                    headers=headers,
                    content=b"nine o'clock",
                )
            answers.append(response.headers.get("X-Reason") or response.text)
            await trio.sleep(1.0)
    return calls, answers


@behave.given("a claim store with an ended claim and its answer")
def given_store(context):
    """Each step opens its own."""


@behave.when("{hours:g} hours pass")
def pass_hours(context, hours):
    """Look at the store after the time."""
    context.kept = cluster.run_seeded(_after, hours)


@behave.then("the claim is {claim} and the answer is {answer}")
def check_kept(context, claim, answer):
    """Compare what is left."""
    assert context.kept == (claim, answer), context.kept


@behave.when("the leases lapse early")
def lapse_early(context):
    """Write twice after the leases lapsed."""
    context.results = cluster.run_seeded(_early_lapse)


@behave.then("another claim can be written at the second try")
def check_rewritten(context):
    """Compare the results."""
    expected = [metadata.Conflict, metadata.Written]
    assert context.results == expected, context.results


@behave.when("{count:d} claims are written in {minutes:d} minutes")
def write_claims(context, count, minutes):
    """Write claims at an even pace."""
    context.grants = cluster.run_seeded(_grants, count, minutes)


@behave.then("at most {grants:d} leases were granted")
def check_grants(context, grants):
    """Compare the calls that the stand-in counted."""
    assert context.grants <= grants, context.grants


@behave.given("a running system with a plain service")
def given_plain(context):
    """The next step opens it."""


@behave.when('a call marked "{mark}" with key "{key}" is sent {tries:d} times')
@behave.when('a call marked "{mark}" with key "" is sent {tries:d} times')
def call_plain(context, mark, tries, key=""):
    """Call the plain service through one entry VM after another."""
    context.calls, context.answers = cluster.run_seeded(
        _plain_calls, mark, key, tries
    )


@behave.then("the plain service was called {calls:d} times")
def check_calls(context, calls):
    """Compare the calls that arrived."""
    assert context.calls == calls, context.calls


@behave.then('all tries were answered "{answers}"')
def check_answers(context, answers):
    """Compare the answers."""
    assert ", ".join(context.answers) == answers, context.answers
