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


async def _wait_and_read(hours: float) -> tuple[str, str]:
    async with _open_store() as (store, _):
        await trio.sleep(hours * SECONDS_PER_HOUR)
        status = await store.read(KEY)
        answer = await store.answer(ENDED.token)
        return (
            "kept" if status.claim == ENDED else "gone",
            "kept" if answer == [b"{}"] else "gone",
        )


async def _write_after_revocation() -> list[type]:
    async with _open_store() as (store, state):
        for number in range(1, 5):
            state.store.revoke(f"lease-{number}")
        return [type(await store.write("claims/2", ENDED, 0)) for _ in "12"]


async def _count_grants(count: int, minutes: float) -> int:
    async with _open_store() as (store, state):
        for number in range(count):
            result = await store.write(f"claims/{number}", ENDED, 0)
            assert isinstance(result, metadata.Written), result
            await trio.sleep(minutes * SECONDS_PER_MINUTE / count)
        return state.store.calls["grant"]


async def _plain_calls(non_idempotent: str, key: str, attempts: int):
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
        headers = {"X-Non-Idempotent": non_idempotent, "Idempotency-Key": key}
        for number in range(attempts):
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
    """Do nothing; the next step opens the store."""


@behave.when("{hours:g} hours pass")
def pass_hours(context, hours):
    """Read the claim and its answer after this time."""
    context.kept = cluster.run_seeded(_wait_and_read, hours)


@behave.then("the claim is {claim} and the answer is {answer}")
def check_kept(context, claim, answer):
    """Compare what the store still contains."""
    assert context.kept == (claim, answer), context.kept


@behave.when("the leases are revoked early")
def revoke_leases(context):
    """Write twice after the leases are revoked."""
    context.results = cluster.run_seeded(_write_after_revocation)


@behave.then("another claim can be written at the second attempt")
def check_rewritten(context):
    """Compare the results."""
    expected = [metadata.Conflict, metadata.Written]
    assert context.results == expected, context.results


@behave.when("{count:d} claims are written in {minutes:d} minutes")
def write_claims(context, count, minutes):
    """Write claims at a constant rate."""
    context.grants = cluster.run_seeded(_count_grants, count, minutes)


@behave.then("at most {grants:d} leases were granted")
def check_grants(context, grants):
    """Compare the grants that the stand-in store counted."""
    assert context.grants <= grants, context.grants


@behave.given("a running system with a plain service")
def given_plain(context):
    """Do nothing; the next step opens the system."""


@behave.when(
    'a call with non-idempotent "{non_idempotent}" and key "{key}" is sent '
    "{attempts:d} times"
)
@behave.when(
    'a call with non-idempotent "{non_idempotent}" and key "" is sent '
    "{attempts:d} times"
)
def call_plain(context, non_idempotent, attempts, key=""):
    """Call the plain service through each entry VM in turn."""
    context.calls, context.answers = cluster.run_seeded(
        _plain_calls, non_idempotent, key, attempts
    )


@behave.then("the plain service was called {calls:d} times")
def check_calls(context, calls):
    """Compare the number of calls that arrived."""
    assert context.calls == calls, context.calls


@behave.then('the answers were "{answers}"')
def check_answers(context, answers):
    """Compare the answers."""
    assert ", ".join(context.answers) == answers, context.answers
