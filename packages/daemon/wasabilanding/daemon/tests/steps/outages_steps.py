"""Steps for outages, partitions, leaving VMs and peer exchanges."""

import collections
import dataclasses
import random

import behave
import trio

from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import exchange
from wasabilanding.daemon import settings as settings_module
from wasabilanding.experiments import cluster
from wasabilanding.experiments.histories import submissions
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding import peers

PROFILE = model.ReplicaProfile(
    name="draft",
    model="tarifa",
    version="v1",
    vms_per_replica=2,
    replicas_per_domain=1,
)
PLATFORM = cluster.PLATFORM_LOCATION
DOMAINS = ("prov", "nunoa", "maipu")
PARTITIONS = {
    "the platform": (PLATFORM,),
    "the other failure domains": ("nunoa", "maipu"),
    "both": ("nunoa", "maipu", PLATFORM),
}
SETTLE_S = 4.0
APPLY_TIMEOUT_S = 5.0


def _run(scenario, *arguments):
    return cluster.run_seeded(scenario, *arguments, seed=5)


async def _run_serving(plan, work):
    async with cluster.open_cluster(plan) as system:
        await trio.sleep(1.0)
        await system.configure("escriba", PROFILE)
        for domain in DOMAINS:
            await system.wait_serving(domain, 1)
        await trio.sleep(SETTLE_S)
        return await work(system)


def _revisions(system):
    return {
        name: running.context.known.configuration.revision
        for name, running in sorted(system.nodes.items())
    }


def _ready(system):
    return {
        name: running.node.service.ready
        for name, running in sorted(system.nodes.items())
    }


async def _submit_to_each(system, names):
    verdicts = {}

    async def ask(name):
        answer = await submissions.submit(system, name, f"{name} now")
        verdicts[name] = (answer.verdict, answer.reason)

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(ask, name)
    return verdicts


async def _put_customer(system, node, customer):
    running = system.nodes[node]
    address = running.context.settings.administration.address
    async with system.client(running.context.failure_domain) as http:
        response = await http.put(
            f"http://{address}/v1/customers/{customer}", json={}, timeout=20.0
        )
    return response.json().get("revision")


@behave.given(
    "a serving system of 3 failure domains with {nodes:d} nodes each"
)
def given_system(context, nodes):
    """Define the cluster."""
    context.plan = cluster.Plan(
        nodes_per_domain=nodes, fabrics_per_domain=1, vms_per_fabric=3, seed=3
    )


def _known_revisions(running):
    known = running.context.known
    domain = running.context.failure_domain
    return (
        known.configuration.revision,
        known.record(domain).revision,
        known.listing(domain).revision,
    )


async def _replace(system, names):
    for name in names:
        domain = system.nodes[name].context.failure_domain
        system.kill_node(name)
        await trio.sleep(0.2)
        await system.start_node(name, domain)


async def _replace_in_outage(system, names):
    replaced = names or sorted(system.nodes)
    before = {n: _known_revisions(system.nodes[n]) for n in replaced}
    system.platform.faults.down = True
    await trio.sleep(1.0)
    await _replace(system, replaced)
    await trio.sleep(6.0)
    ready = _ready(system)
    after = {
        n: _known_revisions(system.nodes[n]) for n in replaced if ready[n]
    }
    answers = await _submit_to_each(system, [n for n in ready if ready[n]])
    system.platform.faults.down = False
    await trio.sleep(6.0)
    return replaced, before, ready, after, answers, _ready(system)


@behave.when(
    'the platform goes down and {count:d} nodes of "prov" are replaced'
)
def replace_some(context, count):
    """Replace the nodes one after another."""
    names = [f"prov-node-{index}" for index in range(count)]
    context.outcome = _run(
        _run_serving, context.plan, lambda s: _replace_in_outage(s, names)
    )


@behave.when("the platform goes down and all nodes are replaced")
def replace_all(context):
    """Replace all nodes at once."""

    async def work(system):
        names = sorted(system.nodes)
        system.platform.faults.down = True
        for name in names:
            system.kill_node(name)
        await trio.sleep(0.2)
        for name in names:
            await system.start_node(name, name.partition("-")[0])
        await trio.sleep(6.0)
        ready = _ready(system)
        system.platform.faults.down = False
        await trio.sleep(6.0)
        return names, {}, ready, {}, {}, _ready(system)

    context.outcome = _run(_run_serving, context.plan, work)


@behave.then("the replaced nodes are {verdict} after 6 s")
def check_ready(context, verdict):
    """Compare readiness."""
    replaced, _, ready, *_ = context.outcome
    for name in replaced:
        assert ready[name] == (verdict == "ready"), ready


@behave.then("each ready replaced node has the revisions known before")
def check_held(context):
    """Compare revisions before and after."""
    _, before, _, after, *_ = context.outcome
    assert after == before, (before, after)


@behave.then("requests through ready nodes complete")
def check_requests(context):
    """Compare the verdicts."""
    answers = context.outcome[4]
    assert answers, context.outcome
    for name, (verdict, reason) in answers.items():
        assert verdict == "completed", (name, verdict, reason)


@behave.then("all nodes are ready 6 s after the recovery")
def check_all_ready(context):
    """Compare readiness."""
    ready = context.outcome[5]
    assert all(ready.values()), ready


async def _first_holders(system, timeout_s):
    begun = trio.current_time()
    holders = {}
    while trio.current_time() - begun < timeout_s:
        for running in system.nodes.values():
            if running.node.controller.is_holder:
                domain = running.context.failure_domain
                holders.setdefault(domain, trio.current_time() - begun)
        await trio.sleep(0.05)
    return holders


async def _recover_from(system, fault, outage_s):
    store = system.platform
    store.faults.down = fault == "down"
    store.faults.delay_s = 3.0 if fault == "slow" else 0.0
    await trio.sleep(outage_s)
    store.faults.down = False
    store.faults.delay_s = 0.0
    recovered_at = trio.current_time()
    holders = await _first_holders(system, APPLY_TIMEOUT_S)
    revision = await _put_customer(system, "nunoa-node-0", "later")
    await trio.sleep(APPLY_TIMEOUT_S)
    return {
        "reads": store.reads.max_calls_per_s(recovered_at),
        "writes": store.writes.max_calls_per_s(recovered_at),
        "holders": holders,
        "revision": revision,
        "revisions": _revisions(system),
    }


@behave.when("the platform is {fault} for {outage:d} s and then recovers")
def recover_from_outage(context, fault, outage):
    """Run the outage."""
    context.outcome = _run(
        _run_serving, context.plan, lambda s: _recover_from(s, fault, outage)
    )


@behave.then(
    "the platform got at most {reads:d} reads and {writes:d} writes in any "
    "second"
)
def check_rates(context, reads, writes):
    """Check the rates that the platform stand-in counted."""
    assert context.outcome["reads"] <= reads, context.outcome
    assert context.outcome["writes"] <= writes, context.outcome


@behave.then(
    "every failure domain has a control lease holder within {bound:g} s"
)
def check_holders(context, bound):
    """Compare the times."""
    holders = context.outcome["holders"]
    assert sorted(holders) == sorted(DOMAINS), holders
    assert max(holders.values()) <= bound, holders


@behave.then(
    "a change accepted at the recovery is applied by all nodes within 5 s"
)
def check_change(context):
    """Compare the revisions."""
    outcome = context.outcome
    assert outcome["revision"], outcome
    assert set(outcome["revisions"].values()) == {outcome["revision"]}


async def _partition(system, others):
    for other in others:
        system.network.cut("prov", other)
    await trio.sleep(10.0)
    revision = await _put_customer(system, "nunoa-node-0", "during")
    await trio.sleep(5.0)
    answers = await _submit_to_each(system, sorted(system.nodes))
    await trio.sleep(5.0)
    during = _revisions(system)
    for other in others:
        system.network.heal("prov", other)
    await trio.sleep(APPLY_TIMEOUT_S)
    return answers, revision, during, _revisions(system)


@behave.when('"prov" is partitioned from {others} for 20 s')
def partition_domain(context, others):
    """Run the partition."""
    context.outcome = _run(
        _run_serving, context.plan, lambda s: _partition(s, PARTITIONS[others])
    )


@behave.then("requests through every node complete during the partition")
def check_answers(context):
    """Compare the verdicts."""
    for name, (verdict, reason) in context.outcome[0].items():
        assert verdict == "completed", (name, verdict, reason)


@behave.then(
    'a change made elsewhere is {state} in "prov" during the partition'
)
def check_state(context, state):
    """Compare the revisions during the partition."""
    _, revision, during, _ = context.outcome
    expected = state == "in force"
    for name, held in during.items():
        is_in_force = held == revision
        wanted = expected if name.startswith("prov") else True
        assert is_in_force == wanted, (revision, during)


@behave.then("all nodes have the same configuration 5 s after the partition")
def check_same(context):
    """Compare the revisions after the partition."""
    _, revision, _, after = context.outcome
    assert set(after.values()) == {revision}, (revision, after)


@behave.given("callers that send requests through every node continuously")
def given_callers(context):
    """Do nothing; the run starts the callers."""


async def _submit_repeatedly(system, name, answers):
    for number in range(10_000):
        prompt = f"{name} {number}"
        answers.append(await submissions.submit(system, name, prompt))
        await trio.sleep(0.1)


def _signal_leaving(system, sign, leaving):
    if sign == "the platform's list, and no record can be written":
        system.platform.writes.calls_per_s = 0
    if sign == "its own report":
        system.engine(leaving).leaving = True
        return
    system.list_vms(
        dataclasses.replace(vm, leaving=vm.vm == leaving)
        for vm in system.plan.vms
    )


async def _run_leaving(system, sign):
    context = system.nodes["prov-node-0"].context
    leaving = context.known.record("prov").replicas[0].leader
    answers, late = [], []
    async with trio.open_nursery() as nursery:
        for name in sorted(system.nodes):
            nursery.start_soon(_submit_repeatedly, system, name, answers)
        await trio.sleep(2.0)
        before = len(_started(system, leaving))
        _signal_leaving(system, sign, leaving)
        await trio.sleep(3.0)
        bound = len(_started(system, leaving))
        await trio.sleep(6.0)
        late = _started(system, leaving)[bound:]
        nursery.cancel_scope.cancel()
    return before, late, answers


def _started(system, vm):
    log = system.fleets["prov"].log
    return [entry for entry in log if entry[2] == vm]


@behave.when("the only sign that a serving VM leaves is {sign}")
def signal_leaving(context, sign):
    """Let the VM leave while callers send requests."""
    context.outcome = _run(
        _run_serving, context.plan, lambda s: _run_leaving(s, sign)
    )


@behave.then("it starts no request later than 3 s after the sign")
def check_late(context):
    """Check the engine's log of started requests."""
    before, late, _ = context.outcome
    assert before, "the VM got no requests before the sign"
    assert not late, late


@behave.then("no request failed")
def check_none_failed(context):
    """Compare the verdicts."""
    for answer in context.outcome[2]:
        assert answer.verdict == "completed", answer


class _FakePeers:
    """Fake peers that count calls and connections."""

    def __init__(self, names):
        self.names = names
        self.calls = collections.Counter()
        self.open_calls = collections.Counter()
        self.max_open_calls = collections.Counter()
        self.open_connections = collections.Counter()
        self.alive = set(names)
        self.heartbeat_count = 0

    def connect(self, address):
        """Return a connection."""
        self.open_connections[address] += 1
        return _FakeChannel(self, address)


def _peer_node(address):
    name = address.partition(":")[0]
    return membership.Node(name, 0, "prov", address)


class _FakeChannel:
    def __init__(self, peers_state, address):
        self._state = peers_state
        self._address = address

    async def exchange(self, request):
        """Answer, fail or time out, depending on the address."""
        state, address = self._state, self._address
        state.calls[address] += 1
        if address not in state.alive:
            await trio.lowlevel.checkpoint()
            raise peers.PeerUnreachable(address, OSError("refused"))
        if address == "slow:1":
            state.open_calls[address] += 1
            now_open = state.open_calls[address]
            state.max_open_calls[address] = max(
                state.max_open_calls[address], now_open
            )
            try:
                await trio.sleep(peers.client.CALL_TIMEOUT_S)
            finally:
                state.open_calls[address] -= 1
            raise peers.PeerUnreachable(address, OSError("timed out"))
        await trio.sleep(0.001)
        state.heartbeat_count += 1
        reply = peers.ExchangeReply(informed=True)
        reply.sender.name = address.partition(":")[0]
        reply.sender.address = address
        reply.sender.failure_domain = "prov"
        reply.sender.heartbeat = state.heartbeat_count
        for alive in sorted(state.alive):
            node = _peer_node(alive)
            reply.heartbeats.keys.append(membership.node_key(node))
            reply.heartbeats.counts.append(state.heartbeat_count)
            reply.heartbeats.ages_cs.append(0)
        return reply

    def close(self):
        """Close the connection."""
        self._state.open_connections[self._address] -= 1


def _exchange_context(state):
    settings = settings_module.Settings(
        node="own",
        failure_domain="prov",
        callers=settings_module.Listener(1, "own"),
        administration=settings_module.Listener(2, "own"),
        peers=settings_module.Listener(3, "own"),
        platform_url="http://platform",
    )
    table = membership.MemberTable(membership.Node("own", 1, "prov", "own:3"))
    for address in state.names:
        table.learn(_peer_node(address))
    known = knowledge.ClusterState()
    known.mark_informed()
    return context_module.Context(
        settings=settings,
        known=known,
        members=table,
        platform=None,
        endpoints=None,
        telemetry=None,
        connect_peer=state.connect,
        rng=random.Random(1),
    )


@behave.given("a node with 3 peers of which one never answers")
def given_slow_peer(context):
    """Create the peers."""
    context.state = _FakePeers(["a:1", "b:1", "slow:1"])


async def _run_exchanges(state, duration_s, removed=()):
    context = _exchange_context(state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange.Exchanger(context).run)
        await trio.sleep(20.0 if removed else 0.0)
        state.connections_before = dict(state.open_connections)
        state.alive -= set(removed)
        await trio.sleep(duration_s)
        state.connections_at_end = dict(state.open_connections)
        nursery.cancel_scope.cancel()


@behave.when("exchanges run for {duration:d} s")
def run_exchanges(context, duration):
    """Run the exchanges."""
    _run(_run_exchanges, context.state, duration)


@behave.given("a node with {count:d} peers")
def given_many_peers(context, count):
    """Create the peers."""
    context.state = _FakePeers([f"p{index}:1" for index in range(count)])


@behave.when(
    "exchanges run for {duration:d} s after all but {kept:d} peers were "
    "removed"
)
def run_exchanges_after_removal(context, duration, kept):
    """Run the exchanges and remove most of the peers."""
    removed = context.state.names[kept:]
    _run(_run_exchanges, context.state, duration, removed)


@behave.then("each other peer was called at least {count:d} times")
def check_asked(context, count):
    """Count the calls."""
    calls = context.state.calls
    assert min(calls["a:1"], calls["b:1"]) >= count, calls


@behave.then("the slow peer never had two concurrent calls")
def check_open(context):
    """Check the number of concurrent calls."""
    assert context.state.max_open_calls["slow:1"] == 1, (
        context.state.max_open_calls
    )


@behave.then("{before:d} connections were open, and {after:d} remain")
def check_closed(context, before, after):
    """Compare the open connections."""
    state = context.state
    counts = [
        sum(open_connections.values())
        for open_connections in (
            state.connections_before,
            state.connections_at_end,
        )
    ]
    assert counts == [before, after], counts
