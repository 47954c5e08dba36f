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
        """Learn a report and see to it that the VM is listed."""
        state = fields.pop("state", model.VmState.IDLE)
        self.known.learn_report(
            model.VmReport(vm, state, observed_at=at, **fields), source
        )

    def list_vms(self, names, domain="prov"):
        """Learn a VM list."""
        vms = tuple(
            model.Vm(name, f"http://{name}", domain, "f") for name in names
        )
        self.known.learn_listing(knowledge.VmListing(domain, 1, vms))

    def apply(self, reply, sent_at=0.0):
        """Apply an answer as the daemon does."""
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


def _ask(caller, callee, there=0.0, back=0.0, now=0.0):
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
def given_held(context):
    """Let it hold both."""
    node = context.peers["b"]
    node.known.learn_configuration(configuration.Configuration(7))
    node.list_vms(["vm-1"])
    node.observe("vm-1")


def _cut_short(content):
    return content[:-4]


def _not_packed(content):
    return zlib.decompress(content)


def _too_long(content):
    return zlib.compress(b" " * documents.MAX_CONTENT_BYTES + b"{}")


def _does_not_fit(content):
    return zlib.compress(b'{"revision": "seven"}')


def _wrong_number(content):
    return zlib.compress(b'{"revision": 9}')


CONTENTS = {
    "a configuration that does not fit": _does_not_fit,
    "a configuration under a wrong number": _wrong_number,
    "a configuration that is cut short": _cut_short,
    "a configuration that is not packed": _not_packed,
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


def _spoil(reply, fault):
    if fault not in CONTENTS:
        _add_entry(reply, fault)
        return
    for document in reply.documents:
        if document.identity.kind == documents.CONFIGURATION:
            document.content = CONTENTS[fault](document.content)


@behave.when('node "a" reads an answer of "b" with {fault}')
def read_answer(context, fault):
    """Spoil an answer on its way."""
    a, b = context.peers["a"], context.peers["b"]
    request = peers.make_request(a.table, a.known, 0.0)
    request.known.extend(a.refused.known_or_refused(a.known))
    reply = _answer(b, request)
    _spoil(reply, fault)
    context.reply_result = a.apply(reply)


@behave.then('node "a" holds configuration revision {revision:d}')
def check_revision(context, revision):
    """Compare the revision."""
    held = context.peers["a"].known.configuration.revision
    assert held == revision, held


@behave.then('node "a" has a report of VM "{vm}"')
def check_report(context, vm):
    """Look for the report."""
    assert vm in context.peers["a"].known.reports


@behave.then(
    "the answer had {refused:d} refused documents and {unusable:d} unusable "
    "entries"
)
def check_refused(context, refused, unusable):
    """Compare the counts."""
    reply_result = context.reply_result
    assert len(reply_result.refused) == refused, reply_result
    assert reply_result.unusable == unusable, reply_result


@behave.when('node "a" asks "b" once more')
@behave.when('node "a" asks "b"')
def ask(context):
    """Ask with the cursor of the last answer."""
    now = getattr(context, "now", 0.0)
    context.reply = _ask(context.peers["a"], context.peers["b"], now=now)


@behave.then("the last answer has {count:d} documents")
def check_documents(context, count):
    """Count the configurations in the last answer."""
    kinds = [d.identity.kind for d in context.reply.documents]
    assert kinds.count(documents.CONFIGURATION) == count, kinds


def _hold(node, count, at=0.0, source=""):
    names = [f"vm-{index}" for index in range(count)]
    for name in names:
        node.observe(name, at, source)


@behave.given('node "b" holds reports of {count:d} VMs')
def given_reports(context, count):
    """Let it observe listed VMs."""
    node = context.peers["b"]
    node.list_vms([f"vm-{index}" for index in range(count)])
    _hold(node, count)


@behave.when(
    'node "a" asks "b", then "b" learns {changed:d} reports from "{source}"'
)
def ask_and_change(context, changed, source):
    """Ask, then let the callee learn younger reports."""
    _ask(context.peers["a"], context.peers["b"])
    teller = "" if source == "own" else source
    _hold(context.peers["b"], changed, at=0.5, source=teller)


@behave.when('node "b" starts anew with the same reports')
def start_anew(context):
    """Give it a new life with an equally long journal."""
    before = context.peers["b"].known
    node = _Peer("b", incarnation=2)
    node.list_vms(before.reports)
    for vm in before.reports:
        node.observe(vm)
    context.peers["b"] = node


@behave.then("the last answer has {count:d} reports")
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
    """Let "b" know whole replicas of two failure domains."""
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
    'node "b" last heard of one member of "prov" {age:g} s before the others'
)
def given_dead_member(context, age):
    """Let the other member's report be younger."""
    known = context.peers["b"].known
    context.now = age
    for vm in ("prov-0", "maipu-0", "maipu-1"):
        younger = dataclasses.replace(known.reports[vm], observed_at=age)
        known.learn_report(younger)


@behave.given('node "b" holds a report of a free VM of "prov"')
def given_free(context):
    """Let it observe a listed VM that has no place."""
    context.peers["b"].list_vms(["free"])
    context.peers["b"].observe("free")


@behave.then(
    "the last answer has {reports:d} reports and {wholes:d} whole replicas"
)
def check_both(context, reports, wholes):
    """Count both."""
    counts = len(context.reply.reports), len(context.reply.whole_replicas)
    assert counts == (reports, wholes), counts


@behave.given(
    'node "a" holds the record of "prov" at an epoch that is {epoch}'
)
def given_record_at_a(context, epoch):
    """Let it hold a record that the exchange does not replace."""
    record = context.records["prov"]
    if epoch == "different":
        record = dataclasses.replace(_record("prov", "s", 2), revision=9)
    context.peers["a"].known.learn_record(record)


@behave.then('node "a" has {count:d} reports of the members, as old as at "b"')
def check_members(context, count):
    """Compare the members' reports at both."""
    known = {name: p.known.reports for name, p in context.peers.items()}
    found = [vm for vm in known["a"] if vm.startswith("prov-")]
    assert len(found) == count, found
    for vm in found:
        one, other = known["a"][vm], known["b"][vm]
        assert (one.replica_id, one.epoch) == (other.replica_id, other.epoch)
        assert abs(one.observed_at - other.observed_at) <= 0.011, (one, other)


@behave.given('node "b" observed VM "vm-1" 1 s ago')
def given_observed(context):
    """Let it observe a listed VM."""
    context.peers["b"].list_vms(["vm-1"])
    context.peers["b"].observe("vm-1", at=99.0)


@behave.when(
    'node "a" asks "b" and the way takes {there:g} s there and {back:g} s back'
)
def ask_slowly(context, there, back):
    """Ask over a slow network; both clocks are the same in the test."""
    a, b = context.peers["a"], context.peers["b"]
    _ask(a, b, there, back, now=100.0)
    # The other direction: "a" may not tell it as younger than it knows.
    b.known.forget_reports(1000.0)
    b.list_vms(["vm-1"])
    _ask(b, a, there, back, now=100.0 + there + back)
    context.arrived_at = 100.0 + there + back


@behave.then('node "a" takes the observation as at least {age:g} s old')
def check_age(context, age):
    """Compare the age at its arrival."""
    report = context.peers["a"].known.reports["vm-1"]
    assert context.arrived_at - report.observed_at >= age - 1e-6, report
    assert report.observed_at <= 99.0, report


@behave.given(
    "{count:d} nodes that ask each other every 0.1 s by requests of "
    "{there:g} s"
)
def given_slow_nodes(context, count, there):
    """Make the nodes."""
    context.there = there
    context.nodes = [_Peer(f"n{index}") for index in range(count)]
    context.on_way = []
    _ask_each_other(context, 0.0, 5.0)


@behave.given("a node that was heard by them and died")
def given_dead(context):
    """Let one of them learn of the node."""
    dead = membership.Node("dead", 1, "prov", "dead:1", updated_at=5.0)
    for node in context.nodes:
        node.table.learn(dead)


def _ask_each_other(context, since, until):
    now = since
    while now < until:
        for one, other in itertools.permutations(context.nodes, 2):
            one.table.increment_heartbeat(now)
            request = peers.make_request(one.table, one.known, now)
            context.on_way.append((now + context.there, other, request))
        now += 0.1
        arrived = [entry for entry in context.on_way if entry[0] <= now]
        context.on_way = [e for e in context.on_way if e[0] > now]
        for at, other, request in arrived:
            peers.answer_request(other.table, other.known, request, at)


@behave.when("10 s pass among them")
def pass_time(context):
    """Let them go on."""
    _ask_each_other(context, 5.0, 15.0)


@behave.then("the dead node is not live anywhere")
def check_not_live(context):
    """Look for it in each table."""
    for node in context.nodes:
        live = [known.name for known in node.table.live(15.0)]
        assert "dead" not in live, live
        assert len(live) == len(context.nodes), live


def _free_port():
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class _SenselessPeer:
    """Answers with bytes that are no message."""

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


async def _serve_senseless(port):
    server = grpclib.server.Server([_SenselessPeer()], codec=_BytesCodec())
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


def _answer_well(request):
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
        answer = _answer_well
        if fault == "an error in the peer":
            answer, bad = _answer_after_error(), good
        nursery.start_soon(peers.serve_exchange, "127.0.0.1", good, answer)
        if fault == "an answer of no sense":
            nursery.start_soon(_serve_senseless, bad)
        await trio.sleep(0.3)
        results = [await _call(bad), await _call_until_served(good)]
        nursery.cancel_scope.cancel()
    return results


@behave.given("a peer that answers on loopback")
def given_loopback(context):
    """Leave it to the call, which needs the loop."""


@behave.when("a call meets {fault}")
def call_with_fault(context, fault):
    """Make two calls."""
    context.results = trio.run(_two_calls, fault)


@behave.then("that call ends as unreachable")
def check_unreachable(context):
    """Compare the first result."""
    result = context.results[0]
    assert isinstance(result, peers.PeerUnreachable), result


@behave.then("the next call is answered")
def check_answered(context):
    """Compare the second result."""
    assert context.results[1] == 5, context.results
