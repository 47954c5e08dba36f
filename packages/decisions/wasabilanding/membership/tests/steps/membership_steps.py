"""Steps for membership."""

import random

import behave

from wasabilanding import membership

DOMAIN = "prov"
FLAGS = {"yes": True, "no": False}


def _node(name, domain=DOMAIN, **changes):
    fields = {"incarnation": 1, **changes}
    return membership.Node(
        name=name, failure_domain=domain, address=f"{name}:1", **fields
    )


def _send_table(sender, receiver, now):
    for node in sender.gossip_entries(now, DOMAIN):
        receiver.learn(node)


@behave.given(
    "{count:d} nodes that exchange their tables every {interval:g} s"
)
def given_tables(context, count, interval):
    """Let all nodes learn of each other."""
    context.interval = interval
    context.now = 0.0
    context.tables = [
        membership.MemberTable(_node(f"n{i}")) for i in range(count)
    ]
    _run(context, 5.0)


def _run(context, duration):
    end = context.now + duration
    while context.now < end:
        context.now += context.interval
        for table in context.tables:
            table.increment_heartbeat(context.now)
            table.forget(context.now)
            for other in context.tables:
                if other is not table:
                    _send_table(table, other, context.now)


@behave.when("one of them dies and {wait:g} s pass")
def stop_node(context, wait):
    """Remove one node and run the others."""
    context.dead = context.tables.pop().own.name
    _run(context, wait)


@behave.then("it is {live} and {table} everywhere")
def check_dead(context, live, table):
    """Check the state of the dead node in all tables."""
    for each in context.tables:
        names = [node.name for node in each.live(context.now)]
        known = [node.name for node in each.others]
        assert (context.dead in names) == (live == "live"), names
        assert (context.dead in known) == (table == "known"), known
        assert len(names) >= len(context.tables), names


@behave.given(
    'node "a" known at incarnation {inc:d} heartbeat {beat:d} leaving '
    "{leaving}"
)
def given_news(context, inc, beat, leaving):
    """Learn the first update."""
    context.members = membership.MemberTable(_node("own"))
    context.members.learn(
        _node("a", incarnation=inc, heartbeat=beat, leaving=FLAGS[leaving])
    )


@behave.when(
    "an update arrives at incarnation {inc:d} heartbeat {beat:d} leaving "
    "{leaving}"
)
def learn_news(context, inc, beat, leaving):
    """Learn the second update."""
    context.members.learn(
        _node("a", incarnation=inc, heartbeat=beat, leaving=FLAGS[leaving])
    )


@behave.then(
    'node "a" is at incarnation {inc:d} heartbeat {beat:d} leaving {leaving}'
)
def check_news(context, inc, beat, leaving):
    """Compare the known version."""
    (known,) = context.members.others
    assert known.version == (inc, beat), known
    assert known.leaving == FLAGS[leaving], known


@behave.given('node "a" was known and has expired')
def given_expired(context):
    """Learn of the node and let it expire."""
    context.members = membership.MemberTable(_node("own"))
    context.members.learn(_node("a", heartbeat=7))
    context.members.forget(membership.FORGET_AFTER_S + 1.0)


@behave.when("its last update arrives again")
def learn_again(context):
    """Learn the same heartbeat with a recent time."""
    updated_at = membership.FORGET_AFTER_S + 2.0
    context.members.learn(_node("a", heartbeat=7, updated_at=updated_at))


@behave.then('node "a" is not known')
def check_unknown(context):
    """Check that the node is not in the table."""
    assert not context.members.others, context.members.others


@behave.given("a node at incarnation {inc:d}")
def given_own(context, inc):
    """Make the node's table."""
    context.members = membership.MemberTable(_node("own", incarnation=inc))


@behave.when("it receives its own name at incarnation {inc:d}")
def learn_own(context, inc):
    """Learn an update about its previous incarnation."""
    context.members.learn(_node("own", incarnation=inc))


@behave.then("it continues at incarnation {inc:d}")
def check_own(context, inc):
    """Compare its incarnation."""
    assert context.members.own.incarnation == inc, context.members.own


@behave.given(
    "a node among {local:d} live peers in its failure domain and {remote:d} "
    "in {domains:d} others"
)
def given_peers(context, local, remote, domains):
    """Fill the node's table."""
    context.members = membership.MemberTable(_node("own"))
    context.local = [f"local{i}" for i in range(local)]
    for name in context.local:
        context.members.learn(_node(name))
    for index in range(remote):
        domain = f"domain{index % domains}"
        context.members.learn(_node(f"remote{index}", domain=domain))
    context.peer_selector = membership.PeerSelector((), random.Random(3))


@behave.given('a node with seed "{seed}" and {peers:d} live peers')
def given_seed(context, seed, peers):
    """Fill the node's table."""
    context.members = membership.MemberTable(_node("own"))
    for index in range(peers):
        context.members.learn(_node(f"local{index}"))
    context.peer_selector = membership.PeerSelector((seed,), random.Random(3))


@behave.when("it chooses the peers of {count:d} rounds")
def choose(context, count):
    """Choose the peers of each round."""
    context.rounds = [
        context.peer_selector.next_round(context.members, 0.0)
        for _ in range(count)
    ]


@behave.then("a round has at most {max_peers:d} peers")
def check_fan_out(context, max_peers):
    """Compare the largest round."""
    assert max(len(chosen) for chosen in context.rounds) <= max_peers


@behave.then("each local peer is called at least once in {turn:d} rounds")
def check_turns(context, turn):
    """Check that each window of that many rounds has each peer."""
    for name in context.local:
        called = [f"{name}:1" in chosen for chosen in context.rounds]
        for start in range(len(called) - turn):
            assert any(called[start : start + turn]), (name, start)


@behave.then('"{address}" is called in {least:d} to {most:d} rounds')
def check_reconnect(context, address, least, most):
    """Count the rounds that call the address."""
    count = sum(address in chosen for chosen in context.rounds)
    assert least <= count <= most, count


@behave.given("a started node that knows {live:d} live peers")
def given_started(context, live):
    """Make a node that has received no answer yet."""
    context.members = membership.MemberTable(_node("own"))
    for index in range(live):
        context.members.learn(_node(f"p{index}"))
    context.joining = membership.JoinProgress()


@behave.when(
    "{informed:d} informed and {fresh:d} uninformed peers answer; "
    "store answered: {store}"
)
def record_answers(context, store, informed, fresh):
    """Record the answers."""
    if FLAGS[store]:
        context.joining.record_store_answer()
    for index in range(informed + fresh):
        context.joining.record_peer_answer(f"p{index}", index < informed)


@behave.then("the node is {verdict}")
def check_informed(context, verdict):
    """Compare the verdict."""
    complete = context.joining.is_complete(context.members, 0.0)
    assert complete == (verdict == "informed"), verdict
