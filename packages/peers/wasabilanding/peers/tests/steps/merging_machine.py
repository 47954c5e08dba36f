"""Hypothesis state machine of nodes that exchange and merge state."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wasabilanding import configuration
from wasabilanding.experiments import fuzz
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding import peers
from wasabilanding.peers import exchange_pb2

DOMAIN = "prov"
VMS = ("vm-0", "vm-1", "vm-2")
MAX_DELAY_S = 1.0
ROUNDING_S = 0.011
EPSILON_S = 1e-6


@dataclasses.dataclass
class _NodeInstance:
    """One incarnation of a node."""

    name: str
    incarnation: int
    clock_offset_s: float
    table: membership.MemberTable
    known: knowledge.ClusterState
    cursors: dict
    highest: dict


def _start(name, incarnation, clock_offset_s):
    node = membership.Node(name, incarnation, DOMAIN, f"{name}:1")
    instance = _NodeInstance(
        name,
        incarnation,
        clock_offset_s,
        membership.MemberTable(node),
        knowledge.ClusterState(),
        {},
        {},
    )
    instance.known.learn_listing(
        knowledge.VmListing(
            DOMAIN,
            1,
            tuple(model.Vm(vm, "http://x", DOMAIN, "f") for vm in VMS),
        )
    )
    return instance


def make_machine(count):
    """Return the machine for a number of nodes."""
    indices = strategies.integers(0, count - 1)
    delays = strategies.floats(0.0, MAX_DELAY_S)

    class MergingMachine(stateful.RuleBasedStateMachine):
        """Nodes that observe, exchange and restart."""

        def __init__(self):
            super().__init__()
            self.time = 1000.0
            self.revision = 0
            self.running = 0
            self.observed = {}
            self.died_at = {}
            self.requests = []
            self.replies = []
            self.instances = [
                _start(f"n{i}", 1, 7.0 * i) for i in range(count)
            ]

        def _now(self, instance):
            return self.time + instance.clock_offset_s

        @stateful.rule(index=indices, vm=strategies.sampled_from(VMS))
        def observe(self, index, vm):
            """Add a new report of a VM to a node."""
            instance = self.instances[index]
            self.running += 1
            self.observed[vm, self.running] = self.time
            instance.known.learn_report(
                model.VmReport(
                    vm,
                    model.VmState.IDLE,
                    running=self.running,
                    observed_at=self._now(instance),
                )
            )

        @stateful.rule(index=indices)
        def write(self, index):
            """Merge a new configuration and record at a node."""
            self.revision += 1
            known = self.instances[index].known
            known.learn_configuration(
                configuration.Configuration(self.revision)
            )
            known.learn_record(model.DomainRecord(DOMAIN, self.revision))

        @stateful.rule(index=indices, revision=strategies.integers(0, 9))
        def read_old(self, index, revision):
            """Merge an old configuration and record at a node."""
            known = self.instances[index].known
            known.learn_configuration(configuration.Configuration(revision))
            known.learn_record(model.DomainRecord(DOMAIN, revision))

        @stateful.rule(one=indices, other=indices, there=delays)
        def send(self, one, other, there):
            """Send a request that is received later, possibly twice."""
            caller, callee = self.instances[one], self.instances[other]
            if caller is callee:
                return
            now = self._now(caller)
            caller.table.increment_heartbeat(now)
            cursor = caller.cursors.get(other, peers.Cursor())
            request = peers.make_request(
                caller.table, caller.known, now, cursor
            )
            # Requests documents as the second call of an exchange does.
            request.known.extend(
                peers.RefusedRevisions().known_or_refused(caller.known)
            )
            text = request.SerializeToString()
            self.requests.append(
                (self.time + there, one, caller, other, now, text)
            )

        @stateful.rule(choice=strategies.integers(0, 50), back=delays)
        def answer(self, choice, back):
            """Answer one of the requests in flight."""
            self._drop_expired()
            if not self.requests:
                return
            position = choice % len(self.requests)
            _, one, caller, other, sent_at, text = self.requests[position]
            callee = self.instances[other]
            reply = peers.answer_request(
                callee.table,
                callee.known,
                exchange_pb2.ExchangeRequest.FromString(text),
                self._now(callee),
            )
            # Sends all members as in the reply to a second call.
            reply.members.extend(_all_members(callee, self._now(callee)))
            answer = reply.SerializeToString()
            self.replies.append(
                (self.time + back, caller, other, sent_at, answer)
            )

        @stateful.rule(choice=strategies.integers(0, 50))
        def apply(self, choice):
            """Apply one of the replies in flight, possibly again."""
            self._drop_expired()
            if not self.replies:
                return
            position = choice % len(self.replies)
            _, caller, other, sent_at, text = self.replies[position]
            if all(caller is not instance for instance in self.instances):
                return
            reply_result = peers.apply_reply(
                caller.table,
                caller.known,
                exchange_pb2.ExchangeReply.FromString(text),
                sent_at,
            )
            caller.cursors[other] = reply_result.cursor

        @stateful.rule(
            rounds=strategies.integers(1, 12), there=delays, pause=delays
        )
        def exchange_all(self, rounds, there, pause):
            """Run synchronous exchanges of all nodes over a slow network."""
            for _ in range(rounds):
                for instance in self.instances:
                    instance.table.increment_heartbeat(self._now(instance))
                sent = [self._call(a, b) for a, b in self._pairs()]
                self.time += there
                for caller, callee, sent_at, request in sent:
                    reply = peers.answer_request(
                        callee.table, callee.known, request, self._now(callee)
                    )
                    reply.members.extend(
                        _all_members(callee, self._now(callee))
                    )
                    peers.apply_reply(
                        caller.table, caller.known, reply, sent_at
                    )
                self.time += pause
                self._tick()

        def _pairs(self):
            return [
                (one, other)
                for one in self.instances
                for other in self.instances
                if one is not other
            ]

        def _call(self, caller, callee):
            now = self._now(caller)
            request = peers.make_request(caller.table, caller.known, now)
            return caller, callee, now, request

        def _drop_expired(self):
            # A call that took longer than its timeout has no effect.
            self.requests = [
                r for r in self.requests if self.time <= r[0] + EPSILON_S
            ]
            self.replies = [
                r for r in self.replies if self.time <= r[0] + EPSILON_S
            ]

        @stateful.rule(
            step=strategies.one_of(
                strategies.floats(0.01, 0.5), strategies.floats(1.0, 30.0)
            )
        )
        def pass_time(self, step):
            """Advance the time."""
            self.time += step
            self._tick()

        @stateful.rule(index=indices, jump=strategies.floats(0.0, 100.0))
        def jump_clock(self, index, jump):
            """Advance a node's clock, as after a pause."""
            self.instances[index].clock_offset_s += jump
            self._tick()

        def _tick(self):
            for instance in self.instances:
                instance.table.forget(self._now(instance))

        @stateful.rule(index=indices, clock=strategies.floats(0.0, 50.0))
        def restart(self, index, clock):
            """Replace a node by a new incarnation of the same name."""
            old = self.instances[index]
            self.died_at[old.name, old.table.own.incarnation] = self.time
            incarnation = old.table.own.incarnation + 1
            self.instances[index] = _start(old.name, incarnation, clock)

        @stateful.invariant()
        def revisions_never_fall(self):
            """Compare with the highest revisions seen by this instance."""
            for instance in self.instances:
                held = {
                    "configuration": instance.known.configuration.revision,
                    "record": instance.known.record(DOMAIN).revision,
                }
                for kind, revision in held.items():
                    assert revision >= instance.highest.get(kind, 0), instance
                    assert revision <= max(self.revision, 9), instance
                instance.highest = held

        @stateful.invariant()
        def reports_are_as_old_as_they_are(self):
            """Compare ages with the true time since the observation."""
            for instance in self.instances:
                now = self._now(instance)
                for vm, report in instance.known.reports.items():
                    true_age = self.time - self.observed[vm, report.running]
                    age = now - report.observed_at
                    assert age >= true_age - EPSILON_S, (instance, report)

        @stateful.invariant()
        def dead_lives_vanish(self):
            """Check that live nodes do not include dead incarnations."""
            # Each node accepts a given heartbeat at most once, and a request
            # may make it look newer by the network delay.
            bound_s = membership.SUSPECT_AFTER_S
            bound_s += count * (MAX_DELAY_S + ROUNDING_S)
            for instance in self.instances:
                for node in instance.table.live(self._now(instance)):
                    died_at = self.died_at.get((node.name, node.incarnation))
                    if died_at is not None:
                        assert self.time - died_at <= bound_s, (instance, node)

        @stateful.invariant()
        def own_life_is_known(self):
            """Compare each table's own node."""
            for instance in self.instances:
                assert instance.table.own.name == instance.name
                assert instance.table.own.incarnation >= instance.incarnation

    return MergingMachine


def _all_members(instance, now):
    return [
        exchange_pb2.NodeState(
            name=node.name,
            incarnation=node.incarnation,
            failure_domain=node.failure_domain,
            address=node.address,
            leaving=node.leaving,
            age_ms=int((now - node.updated_at) * 1000) + 1,
            heartbeat=node.heartbeat,
        )
        for node in instance.table.gossip_entries(now, DOMAIN)
        if node.name != instance.name
    ]


def settings(examples, steps):
    """Return settings that always draw the same runs."""
    return fuzz.with_fuzz_examples(
        hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
    )
