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


def _tell(teller, listener, now):
    for node in teller.gossip_entries(now, DOMAIN):
        listener.learn(node)


@behave.given(
    "{count:d} nodes that exchange their tables every {interval:g} s"
)
def given_tables(context, count, interval):
    """Let all nodes hear of each other."""
    context.interval = interval
    context.now = 0.0
    context.memberss = [
        membership.MemberTable(_node(f"n{i}")) for i in range(count)
    ]
    _run(context, 5.0)


def _run(context, duration):
    end = context.now + duration
    while context.now < end:
        context.now += context.interval
        for table in context.memberss:
            table.increment_heartbeat(context.now)
            table.forget(context.now)
            for other in context.memberss:
                if other is not table:
                    _tell(table, other, context.now)


@behave.when("one of them dies and {wait:g} s pass")
def die(context, wait):
    """Let the others go on."""
    context.dead = context.memberss.pop().own.name
    _run(context, wait)


@behave.then("it is {live} and {table} everywhere")
def check_dead(context, live, table):
    """Look for the dead node in all tables."""
    for each in context.memberss:
        names = [node.name for node in each.live(context.now)]
        known = [node.name for node in each.others]
        assert (context.dead in names) == (live == "live"), names
        assert (context.dead in known) == (table == "known"), known
        assert len(names) >= len(context.memberss), names


@behave.given(
    'node "a" heard at incarnation {inc:d} heartbeat {beat:d} leaving '
    "{leaving}"
)
def given_news(context, inc, beat, leaving):
    """Learn the first news."""
    context.members = membership.MemberTable(_node("own"))
    context.members.learn(
        _node("a", incarnation=inc, heartbeat=beat, leaving=FLAGS[leaving])
    )


@behave.when(
    "news comes at incarnation {inc:d} heartbeat {beat:d} leaving {leaving}"
)
def learn_news(context, inc, beat, leaving):
    """Learn the second news."""
    context.members.learn(
        _node("a", incarnation=inc, heartbeat=beat, leaving=FLAGS[leaving])
    )


@behave.then(
    'node "a" is at incarnation {inc:d} heartbeat {beat:d} leaving {leaving}'
)
def check_news(context, inc, beat, leaving):
    """Compare what is known."""
    (known,) = context.members.others
    assert known.version == (inc, beat), known
    assert known.leaving == FLAGS[leaving], known


@behave.given('node "a" was heard of and then forgotten')
def given_forgotten(context):
    """Hear of the node and wait until it is forgotten."""
    context.members = membership.MemberTable(_node("own"))
    context.members.learn(_node("a", heartbeat=7))
    context.members.forget(membership.FORGET_AFTER_S + 1.0)


@behave.when("its last news comes once more")
def learn_again(context):
    """Learn the same heartbeat as if it were young."""
    heard_at = membership.FORGET_AFTER_S + 2.0
    context.members.learn(_node("a", heartbeat=7, heard_at=heard_at))


@behave.then('node "a" is not known')
def check_unknown(context):
    """Look for the node."""
    assert not context.members.others, context.members.others


@behave.given("a node at incarnation {inc:d}")
def given_own(context, inc):
    """Make the node's table."""
    context.members = membership.MemberTable(_node("own", incarnation=inc))


@behave.when("it hears of its own name at incarnation {inc:d}")
def hear_own(context, inc):
    """Learn news of an earlier life."""
    context.members.learn(_node("own", incarnation=inc))


@behave.then("it goes on at incarnation {inc:d}")
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


@behave.then("a round has at most {most:d} peers")
def check_fan_out(context, most):
    """Compare the largest round."""
    assert max(len(chosen) for chosen in context.rounds) <= most


@behave.then("each local peer is asked at least once in {turn:d} rounds")
def check_turns(context, turn):
    """Look for each peer in each window of that many rounds."""
    for name in context.local:
        asked = [f"{name}:1" in chosen for chosen in context.rounds]
        for start in range(len(asked) - turn):
            assert any(asked[start : start + turn]), (name, start)


@behave.then('"{address}" is asked in {least:d} to {most:d} rounds')
def check_reconnect(context, address, least, most):
    """Count the rounds that ask the address."""
    count = sum(address in chosen for chosen in context.rounds)
    assert least <= count <= most, count


@behave.given("a started node that knows {live:d} live peers")
def given_started(context, live):
    """Make a node that has heard nothing yet."""
    context.members = membership.MemberTable(_node("own"))
    for index in range(live):
        context.members.learn(_node(f"p{index}"))
    context.joining = membership.JoinProgress()


@behave.when(
    "the store answered {store} and {informed:d} informed and {fresh:d} "
    "fresh peers answered"
)
def hear_answers(context, store, informed, fresh):
    """Hear the answers."""
    if FLAGS[store]:
        context.joining.record_store_answer()
    for index in range(informed + fresh):
        context.joining.record_peer_answer(f"p{index}", index < informed)


@behave.then("the node is {verdict}")
def check_informed(context, verdict):
    """Compare the verdict."""
    complete = context.joining.is_complete(context.members, 0.0)
    assert complete == (verdict == "informed"), verdict
