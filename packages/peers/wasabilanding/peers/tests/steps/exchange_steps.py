"""Steps for the exchange between nodes."""

import contextlib
import dataclasses
import itertools
import socket
import zlib

import behave
import grpclib.const
import grpclib.server
import trio
import trio_asyncio

from wasabilanding import configuration
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding import peers
from wasabilanding.peers import documents
from wasabilanding.peers import exchange_pb2

CONFIGURATION = exchange_pb2.DocumentRevision(
    kind=documents.CONFIGURATION, revision=7
)
READY = model.VmState.READY


class _Peer:
    """State of one node under test."""

    def __init__(self, name, domain="prov", incarnation=1):
        self.table = membership.MemberTable(
            membership.Node(name, incarnation, domain, f"{name}:1")
        )
        self.known = knowledge.ClusterState()
        self.cursor = peers.Cursor()
        self.refused = peers.RefusedRevisions()

    def observe(self, vm, at=0.0, source="", **fields):
        """Merge a report of a VM."""
        state = fields.pop("state", model.VmState.IDLE)
        self.known.learn_report(
            model.VmReport(vm, state, observed_at=at, **fields), source
        )

    def list_vms(self, names, domain="prov"):
        """Merge a VM list."""
        vms = tuple(
            model.Vm(name, f"http://{name}", domain, "f") for name in names
        )
        self.known.learn_listing(knowledge.VmListing(domain, 1, vms))

    def apply(self, reply, sent_at=0.0):
        """Apply a reply as the daemon does."""
        reply_result = peers.apply_reply(
            self.table, self.known, reply, sent_at
        )
        self.cursor = reply_result.cursor
        for error in reply_result.refused:
            self.refused.add(error.identity)
        return reply_result


def _answer(callee, request, now=0.0):
    text = request.SerializeToString()
    reply = peers.answer_request(
        callee.table,
        callee.known,
        exchange_pb2.ExchangeRequest.FromString(text),
        now,
    )
    return exchange_pb2.ExchangeReply.FromString(reply.SerializeToString())


def _exchange(caller, callee, there=0.0, back=0.0, now=0.0):
    request = peers.make_request(
        caller.table, caller.known, now, caller.cursor
    )
    reply = _answer(callee, request, now + there)
    reply_result = caller.apply(reply, now)
    if not reply_result.needs_followup:
        return reply
    followup = peers.make_followup(
        caller.table, caller.known, reply_result, caller.refused
    )
    second = _answer(callee, followup, now + there)
    caller.apply(second, now)
    reply.documents.extend(second.documents)
    return reply


@behave.given('nodes "a" and "b" of one failure domain')
def given_two(context):
    """Make two nodes."""
    context.peers = {name: _Peer(name) for name in "ab"}


@behave.given('nodes "a" of "{one}" and "b" of "{other}"')
def given_two_domains(context, one, other):
    """Make two nodes."""
    context.peers = {"a": _Peer("a", one), "b": _Peer("b", other)}


@behave.given(
    'node "b" holds configuration revision 7 and a report of VM "vm-1"'
)
def given_documents(context):
    """Add the configuration, the VM and its report."""
    node = context.peers["b"]
    node.known.learn_configuration(configuration.Configuration(7))
    node.list_vms(["vm-1"])
    node.observe("vm-1")


def _cut_short(content):
    return content[:-4]


def _not_compressed(content):
    return zlib.decompress(content)


def _too_long(content):
    return zlib.compress(b" " * documents.MAX_CONTENT_BYTES + b"{}")


def _does_not_fit(content):
    return zlib.compress(b'{"revision": "seven"}')


def _wrong_revision(content):
    return zlib.compress(b'{"revision": 9}')


CORRUPTIONS = {
    "a configuration that does not fit": _does_not_fit,
    "a configuration under a wrong number": _wrong_revision,
    "a configuration that is cut short": _cut_short,
    "a configuration that is not packed": _not_compressed,
    "a configuration that is far too long": _too_long,
}


def _add_entry(reply, fault):
    state = exchange_pb2.NodeState(name="x", address="x:1")
    if fault == "a report in an unknown state":
        reply.reports.add(vm="vm-2", state="hibernating")
    elif fault == "a member without a port":
        state.address = "x"
        reply.members.append(state)
    elif fault == "a member at port 99999":
        state.address = "x:99999"
        reply.members.append(state)
    elif fault == "a member without a name":
        state.name = ""
        reply.members.append(state)
    elif fault == "a document of an unknown kind":
        identity = exchange_pb2.DocumentRevision(kind="poem", revision=1)
        reply.documents.add(identity=identity, content=zlib.compress(b"{}"))
    else:
        assert fault == "nothing else", fault


def _corrupt(reply, fault):
    if fault not in CORRUPTIONS:
        _add_entry(reply, fault)
        return
    for document in reply.documents:
        if document.identity.kind == documents.CONFIGURATION:
            document.content = CORRUPTIONS[fault](document.content)


@behave.when('node "a" applies a reply of "b" with {fault}')
def apply_corrupt_reply(context, fault):
    """Corrupt a reply, then apply it."""
    a, b = context.peers["a"], context.peers["b"]
    request = peers.make_request(a.table, a.known, 0.0)
    request.known.extend(a.refused.known_or_refused(a.known))
    reply = _answer(b, request)
    _corrupt(reply, fault)
    context.reply_result = a.apply(reply)


@behave.then('node "a" holds configuration revision {revision:d}')
def check_revision(context, revision):
    """Compare the revision."""
    held = context.peers["a"].known.configuration.revision
    assert held == revision, held


@behave.then('node "a" has a report of VM "{vm}"')
def check_report(context, vm):
    """Check that the report exists."""
    assert vm in context.peers["a"].known.reports


@behave.then(
    "the reply had {refused:d} refused documents and {unusable:d} unusable "
    "entries"
)
def check_refused(context, refused, unusable):
    """Compare the counts."""
    reply_result = context.reply_result
    assert len(reply_result.refused) == refused, reply_result
    assert reply_result.unusable == unusable, reply_result


@behave.when('node "a" calls "b" again')
@behave.when('node "a" calls "b"')
def exchange_once(context):
    """Call with the cursor of the last reply."""
    now = getattr(context, "now", 0.0)
    context.reply = _exchange(context.peers["a"], context.peers["b"], now=now)


@behave.then("the last reply has {count:d} documents")
def check_documents(context, count):
    """Count the configurations in the last reply."""
    kinds = [d.identity.kind for d in context.reply.documents]
    assert kinds.count(documents.CONFIGURATION) == count, kinds


def _observe_vms(node, count, at=0.0, source=""):
    names = [f"vm-{index}" for index in range(count)]
    for name in names:
        node.observe(name, at, source)


@behave.given('node "b" holds reports of {count:d} VMs')
def given_reports(context, count):
    """Add listed VMs and their reports."""
    node = context.peers["b"]
    node.list_vms([f"vm-{index}" for index in range(count)])
    _observe_vms(node, count)


@behave.when(
    'node "a" calls "b", then "b" receives {changed:d} reports from "{source}"'
)
def exchange_then_change(context, changed, source):
    """Call, then add newer reports to the callee."""
    _exchange(context.peers["a"], context.peers["b"])
    report_source = "" if source == "own" else source
    _observe_vms(context.peers["b"], changed, at=0.5, source=report_source)


@behave.when('node "b" restarts with the same reports')
def restart_node(context):
    """Start a new incarnation with a journal of the same length."""
    before = context.peers["b"].known
    node = _Peer("b", incarnation=2)
    node.list_vms(before.reports)
    for vm in before.reports:
        node.observe(vm)
    context.peers["b"] = node


@behave.then("the last reply has {count:d} reports")
def check_reports(context, count):
    """Count the reports."""
    assert len(context.reply.reports) == count, context.reply


def _record(domain, service, epoch=1):
    replica = model.ReplicaRecord(
        replica_id=f"{service}-1",
        epoch=epoch,
        service=service,
        profile="p",
        profile_revision=1,
        model="m",
        version="v1",
        fabric_domain="f",
        members=(f"{domain}-0", f"{domain}-1"),
    )
    return model.DomainRecord(domain, revision=epoch, replicas=(replica,))


@behave.given(
    'the records of "prov" and "maipu" each have a whole replica of {kinds}'
)
def given_records(context, kinds):
    """Add whole replicas of two failure domains to "b"."""
    services = {"prov": "s", "maipu": "s" if kinds == "one kind" else "t"}
    context.records = {d: _record(d, s) for d, s in services.items()}
    for record in context.records.values():
        context.peers["b"].known.learn_record(record)
        for replica in record.replicas:
            for rank, vm in enumerate(replica.members):
                context.peers["b"].observe(
                    vm,
                    at=-0.1 * rank,
                    state=READY,
                    replica_id=replica.replica_id,
                    epoch=replica.epoch,
                )


@behave.given(
    'the report of one member of "prov" at "b" is {age:g} s older than the '
    "others"
)
def given_dead_member(context, age):
    """Make the reports of all other members newer."""
    known = context.peers["b"].known
    context.now = age
    for vm in ("prov-0", "maipu-0", "maipu-1"):
        newer = dataclasses.replace(known.reports[vm], observed_at=age)
        known.learn_report(newer)


@behave.given('node "b" holds a report of a free VM of "prov"')
def given_free(context):
    """Add a report of a listed VM that belongs to no replica."""
    context.peers["b"].list_vms(["free"])
    context.peers["b"].observe("free")


@behave.then(
    "the last reply has {reports:d} reports and {wholes:d} whole replicas"
)
def check_counts(context, reports, wholes):
    """Count the reports and whole replicas in the last reply."""
    counts = len(context.reply.reports), len(context.reply.whole_replicas)
    assert counts == (reports, wholes), counts


@behave.given(
    'node "a" holds the record of "prov" at an epoch that is {epoch}'
)
def given_record_at_a(context, epoch):
    """Add a record that the exchange does not replace."""
    record = context.records["prov"]
    if epoch == "different":
        record = dataclasses.replace(_record("prov", "s", 2), revision=9)
    context.peers["a"].known.learn_record(record)


@behave.then('node "a" has {count:d} reports of the members, as old as at "b"')
def check_members(context, count):
    """Compare the members' reports at both nodes."""
    known = {name: p.known.reports for name, p in context.peers.items()}
    found = [vm for vm in known["a"] if vm.startswith("prov-")]
    assert len(found) == count, found
    for vm in found:
        one, other = known["a"][vm], known["b"][vm]
        assert (one.replica_id, one.epoch) == (other.replica_id, other.epoch)
        assert abs(one.observed_at - other.observed_at) <= 0.011, (one, other)


@behave.given('node "b" observed VM "vm-1" 1 s ago')
def given_observed(context):
    """Add a listed VM and its report."""
    context.peers["b"].list_vms(["vm-1"])
    context.peers["b"].observe("vm-1", at=99.0)


@behave.when(
    'node "a" calls "b" with a delay of {there:g} s and a reply delay of '
    "{back:g} s"
)
def exchange_slowly(context, there, back):
    """Call over a slow network; both nodes have the same clock here."""
    a, b = context.peers["a"], context.peers["b"]
    _exchange(a, b, there, back, now=100.0)
    # In the other direction, "a" must not send it with a lower age.
    b.known.forget_reports(1000.0)
    b.list_vms(["vm-1"])
    _exchange(b, a, there, back, now=100.0 + there + back)
    context.arrived_at = 100.0 + there + back


@behave.then('node "a" dates the observation at least {age:g} s ago')
def check_age(context, age):
    """Compare the age when the reply arrives."""
    report = context.peers["a"].known.reports["vm-1"]
    assert context.arrived_at - report.observed_at >= age - 1e-6, report
    assert report.observed_at <= 99.0, report


@behave.given(
    "{count:d} nodes that call each other every 0.1 s with a delay of "
    "{there:g} s"
)
def given_slow_nodes(context, count, there):
    """Make the nodes."""
    context.there = there
    context.nodes = [_Peer(f"n{index}") for index in range(count)]
    context.in_flight = []
    _call_each_other(context, 0.0, 5.0)


@behave.given("a node that they all know and that has died")
def given_dead(context):
    """Add the dead node to every member table."""
    dead = membership.Node("dead", 1, "prov", "dead:1", updated_at=5.0)
    for node in context.nodes:
        node.table.learn(dead)


def _call_each_other(context, since, until):
    now = since
    while now < until:
        for one, other in itertools.permutations(context.nodes, 2):
            one.table.increment_heartbeat(now)
            request = peers.make_request(one.table, one.known, now)
            context.in_flight.append((now + context.there, other, request))
        now += 0.1
        arrived = [entry for entry in context.in_flight if entry[0] <= now]
        context.in_flight = [e for e in context.in_flight if e[0] > now]
        for at, other, request in arrived:
            peers.answer_request(other.table, other.known, request, at)


@behave.when("they continue for 10 s")
def pass_time(context):
    """Continue the calls."""
    _call_each_other(context, 5.0, 15.0)


@behave.then("the dead node is not live anywhere")
def check_not_live(context):
    """Check the live members of each table."""
    for node in context.nodes:
        live = [known.name for known in node.table.live(15.0)]
        assert "dead" not in live, live
        assert len(live) == len(context.nodes), live


def _free_port():
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class _InvalidReplyPeer:
    """Replies with bytes that are not a valid message."""

    async def _answer(self, stream):
        await stream.recv_message()
        await stream.send_message(b"\xff\xff\xff")

    def __mapping__(self):
        """Return the handlers for grpclib."""
        return {
            "/wasabilanding.peers.Peers/Exchange": grpclib.const.Handler(
                self._answer,
                grpclib.const.Cardinality.UNARY_UNARY,
                bytes,
                bytes,
            )
        }


class _BytesCodec:
    __content_subtype__ = "proto"

    def encode(self, message, message_type):
        """Return the bytes as they are."""
        return message

    def decode(self, data, message_type):
        """Return the bytes as they are."""
        return data


async def _serve_invalid_replies(port):
    server = grpclib.server.Server([_InvalidReplyPeer()], codec=_BytesCodec())
    await trio_asyncio.aio_as_trio(server.start)("127.0.0.1", port)
    try:
        await trio.sleep_forever()
    finally:
        server.close()


def _answer_after_error():
    counter = itertools.count()

    def answer(request):
        if next(counter) == 0:
            raise RuntimeError("an error in the peer")
        return exchange_pb2.ExchangeReply(position=5)

    return answer


def _answer_normally(request):
    return exchange_pb2.ExchangeReply(position=5)


async def _call(port):
    with peers.PeerChannel(f"127.0.0.1:{port}") as channel:
        try:
            reply = await channel.exchange(exchange_pb2.ExchangeRequest())
        except peers.PeerUnreachable as error:
            return error
        return reply.position


async def _call_until_served(port):
    for _ in range(100):
        result = await _call(port)
        if result == 5:
            return result
        await trio.sleep(0.02)
    return result


async def _two_calls(fault):
    good, bad = _free_port(), _free_port()
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        answer = _answer_normally
        if fault == "an error in the peer":
            answer, bad = _answer_after_error(), good
        nursery.start_soon(peers.serve_exchange, "127.0.0.1", good, answer)
        if fault == "an answer of no sense":
            nursery.start_soon(_serve_invalid_replies, bad)
        await trio.sleep(0.3)
        results = [await _call(bad), await _call_until_served(good)]
        nursery.cancel_scope.cancel()
    return results


@behave.given("a peer that listens on the loopback address")
def given_loopback(context):
    """Do nothing; the next step starts the peer in its event loop."""


@behave.when("a call encounters {fault}")
def call_with_fault(context, fault):
    """Make two calls."""
    context.results = trio.run(_two_calls, fault)


@behave.then("that call reports the peer as unreachable")
def check_unreachable(context):
    """Compare the first result."""
    result = context.results[0]
    assert isinstance(result, peers.PeerUnreachable), result


@behave.then("the next call succeeds")
def check_answered(context):
    """Compare the second result."""
    assert context.results[1] == 5, context.results
