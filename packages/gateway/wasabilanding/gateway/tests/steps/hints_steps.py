"""Steps for what nodes tell each other."""

import codecs

import behave
import trio
import trio.testing

from wasabilanding import dispatch
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import directory
from wasabilanding.gateway import hints
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding import metadata
from wasabilanding import model

PREFIX = directory.address_prefix(plain_wire)
SENDER = ("10.0.0.99", 1)
OWN = directory.NodeAddress("n1", "z1", "10.0.0.1", 1)


class _Network:
    """Datagrams in memory."""

    def __init__(self):
        self._boxes = {}
        self.sent = 0

    def socket(self, address):
        """Return the socket of an address."""
        self._boxes[address] = trio.open_memory_channel(100)
        return _Socket(self, address)

    def send(self, data, sender, address):
        """Deliver a datagram, where somebody listens."""
        self.sent += 1
        if address not in self._boxes:
            return
        self._boxes[address][0].send_nowait((data, sender))

    async def receive(self, address):
        """Wait for a datagram."""
        return await self._boxes[address][1].receive()


class _Socket:
    """One socket of the network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def sendto(self, data, address):
        """Send a datagram."""
        self._network.send(data, self._address, address)
        return len(data)

    async def recvfrom(self, max_bytes):
        """Wait for a datagram."""
        return await self._network.receive(self._address)


class _Nodes:
    """Nodes that know of each other and of two endpoints."""

    def __init__(self, domains):
        endpoints = fakes.FakeEndpoints({"e1": "", "e2": ""})
        self.addresses = [
            directory.NodeAddress(name, domain, f"10.0.0.{i}", 1)
            for i, (name, domain) in enumerate(domains.items())
        ]
        self.internal_items = {
            f"{PREFIX}{one.node}": metadata.Item(
                f"{PREFIX}{one.node}", model.encode(one).encode(), 1
            )
            for one in self.addresses
        }
        self.boards = {name: dispatch.Board() for name in domains}
        self.hints = {}
        for one in self.addresses:
            view = cluster_view_module.ClusterView(
                plain_wire, trio.current_time
            )
            view.internal_items = self.internal_items
            for name in ("e1", "e2"):
                view.registry.put(endpoints.endpoint(name))
            self.hints[one.node] = hints.HintExchange(
                one.node,
                one.failure_domain,
                view,
                self.boards[one.node],
                plain_wire,
            )

    def address(self, node):
        """Return where a node takes datagrams."""
        found = next(one for one in self.addresses if one.node == node)
        return found.host, found.port

    async def play(self, steps):
        """Run all nodes and the steps, in order."""
        network = self.network = _Network()
        async with trio.open_nursery() as nursery:
            for name, one in self.hints.items():
                socket = network.socket(self.address(name))
                nursery.start_soon(one.run, socket)
            for step in steps:
                await trio.sleep(step(network) or 0.01)
            nursery.cancel_scope.cancel()
        return [
            name
            for name, board in self.boards.items()
            if "e1" in board.silent(trio.current_time(), 9.0)
        ]


@behave.given("nodes {first} and {second} in failure domain z1 and n3 in z2")
def given_nodes(context, first, second):
    """Make three nodes."""
    context.nodes = _Nodes({first: "z1", second: "z1", "n3": "z2"})
    context.plan = []


@behave.step("endpoint {endpoint} worked on node {node} {ago:g} s ago")
def given_worked(context, endpoint, node, ago):
    """Note a sign of work."""

    def note_work(network):
        now = trio.current_time()
        context.nodes.boards[node].note_progress(endpoint, now - ago)

    context.plan.append(note_work)


@behave.given("the address of a node reads {value}")
def given_address(context, value):
    """Write an address that another writer has broken."""
    key = f"{PREFIX}broken"
    data = codecs.escape_decode(value.encode())[0]
    context.nodes.internal_items[key] = metadata.Item(key, data, 1)


@behave.step("node {node} gets the datagram {data}")
def receive(context, node, data):
    """Send a datagram."""
    text = "" if data == "nothing" else data
    raw = codecs.escape_decode(text.encode())[0]
    context.plan.append(
        lambda network: network.send(raw, SENDER, context.nodes.address(node))
    )


@behave.when("node {node} gives up a silent request to {endpoint}")
def give_up(context, node, endpoint):
    """Let a node find an endpoint silent."""
    context.plan.append(
        lambda network: context.nodes.hints[node].report_silent(endpoint)
    )


@behave.then('the nodes that count e1 as silent are "{nodes}"')
def check_silent(context, nodes):
    """Run the nodes and compare what they believe."""
    found = _play(context)
    assert found == nodes.split(), found


@behave.then('the nodes that count e1 as silent are ""')
def check_none_silent(context):
    """Run the nodes and compare what they believe."""
    check_silent(context, "")


def _play(context):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(context.nodes.play, context.plan, clock=clock)


@behave.when("node {node} sends {count:d} requests to {endpoint}")
def send_requests(context, node, count, endpoint):
    """Count requests in flight."""

    def send(network):
        for _ in range(count):
            context.nodes.boards[node].begin(endpoint, trio.current_time())

    context.plan.append(send)


@behave.when("node {node} has its answers from {endpoint}")
def answer_requests(context, node, endpoint):
    """Count no request in flight any more."""

    def answer(network):
        board = context.nodes.boards[node]
        while board.own_load.get(endpoint):
            board.end(endpoint)

    context.plan.append(answer)


@behave.when("the nodes tell each other for {seconds:g} s")
def wait(context, seconds):
    """Wait."""
    context.plan.append(lambda network: seconds)


@behave.then('the nodes know "{known}" requests at e1')
def check_known(context, known):
    """Run the nodes and compare the load that each knows."""
    _play(context)
    found = " ".join(
        f"{name} {board.load('e1')}"
        for name, board in context.nodes.boards.items()
    )
    assert found == known, found


@behave.given(
    "{count:d} nodes of one failure domain, each with a request in flight"
)
def given_many(context, count):
    """Make many nodes."""
    context.nodes = _Nodes({f"n{i:03}": "z1" for i in range(count)})
    for board in context.nodes.boards.values():
        board.begin("e1", 0.0)


@behave.given("the first {count:d} of them are gone")
def given_gone(context, count):
    """Let nodes be known and not run."""
    for name in sorted(context.nodes.hints)[:count]:
        del context.nodes.hints[name]
        del context.nodes.boards[name]


@behave.when("they tell each other for {seconds:g} s")
def tell_for(context, seconds):
    """Run the nodes."""
    context.plan = [lambda network: seconds]
    _play(context)


@behave.then("each knows the requests of all")
def check_all_known(context):
    """Compare the load."""
    boards = context.nodes.boards.values()
    assert {board.load("e1") for board in boards} == {len(boards)}


@behave.then("at most {most:d} datagrams were sent")
def check_datagrams(context, most):
    """Compare the number of datagrams."""
    assert context.nodes.network.sent <= most, context.nodes.network.sent


class _LeaseStore:
    """The store's leases and writes, with trouble."""

    def __init__(self, trouble):
        self.trouble = trouble
        self.calls = 0
        self.items = {}

    async def grant_lease(self, ttl_s):
        """Grant a lease, or fail."""
        self.calls += 1
        if self.trouble == "grants no lease at first" and self.calls == 1:
            return metadata.Unavailable("down")
        return metadata.Lease(self.calls, ttl_s)

    async def put_all(self, items, lease):
        """Write keys."""
        self.calls += 1
        self.items.update(items)
        return metadata.Written(1)

    async def renew_lease(self, lease):
        """Renew a lease, or know nothing of it, once."""
        self.calls += 1
        if self.trouble == "forgets the lease":
            self.trouble = ""
            self.items.clear()
            return metadata.Missing("1")
        return lease


@behave.given("the store {trouble}")
def given_store(context, trouble):
    """Make a store."""
    context.store = _LeaseStore(trouble)


@behave.when("a node keeps its address there for {seconds:g} s")
def keep(context, seconds):
    """Register the node."""

    async def run():
        with trio.move_on_after(seconds):
            await directory.keep_registered(context.store, PREFIX, OWN)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


@behave.then("the store has it at the end")
def check_kept(context):
    """Compare the address."""
    value = context.store.items[f"{PREFIX}n1"]
    assert model.decode(directory.NodeAddress, value) == OWN


@behave.then("it took at most {calls:d} calls")
def check_calls(context, calls):
    """Compare the calls."""
    assert context.store.calls <= calls, context.store.calls


@behave.given("a port that another process holds for {seconds:g} s")
def given_held_port(context, seconds):
    """Hold a port."""
    context.held_s = seconds


@behave.when("a node wants to take hints there")
def bind(context):
    """Bind to the port until it is free."""

    async def run():
        held = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await held.bind(("127.0.0.1", 0))
        address = held.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_later, held, context.held_s)
            (await hints.bind_socket(address)).close()
        return trio.current_time()

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.took_s = trio.run(_timed, run, clock=clock)


async def _timed(run):
    begun = trio.current_time()
    return await run() - begun


async def _close_later(held, seconds):
    await trio.sleep(seconds)
    held.close()


@behave.then("it does so between {least:g} and {most:g} s later")
def check_bound(context, least, most):
    """Compare the time."""
    assert least <= context.took_s <= most, context.took_s
