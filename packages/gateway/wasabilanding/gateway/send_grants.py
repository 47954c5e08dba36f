"""Keeps the limits of endpoints, together with the other nodes.

Explanation
===========

An endpoint has a limit while it names one in its replies or is cold
(:mod:`wasabilanding.gateway.cold_monitor`). One node, the owner of an
endpoint's limit, keeps the times at which requests may be sent to it
(:mod:`wasabilanding.dispatch.send_slots`). The others ask the owner by a
datagram for each request. A question that is not answered is
repeated under its number, for which the same reply is given again; if there is
none at all, the request is not sent. An owner that leaves several questions in
a row without a reply is replaced by the next node in the order for a while.

A refused node remembers when the next request may be sent, and does not ask
before.

The bound on a cold endpoint holds for each single second, so a grant for it
lapses soon after its time (:mod:`wasabilanding.dispatch.cold`). A node that is
cut off from the store may go on as the owner while the others have chosen
another one, so it gives out half of the rate.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import logging
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cold_monitor
from wasabilanding.gateway import limit_messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding import membership

REPLY_TIMEOUT_S = 0.05
MAX_TRIES = 3
# Questions in a row without a reply after which a node is replaced, and the
# time for which it is.
MAX_UNANSWERED = 2
REPLACED_S = 5.0
# Time for which an endpoint is not asked for again if nobody replied.
UNANSWERED_WAIT_S = 0.5
# Replies that are kept for repeated questions.
MAX_KEPT_REPLIES = 4096
NUMBER_BITS = 48
NEVER = float("-inf")

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Owners:
    """Nodes that may own the limit of an endpoint.

    :param own: name of this node.
    :param names: names of the nodes, this one included if it is one of them.
    """

    own: str
    names: tuple[str, ...]


SendTo = collections.abc.Callable[[str, limit_messages.SendQuestion], None]
OwnersOf = collections.abc.Callable[[str, int], Owners]


@dataclasses.dataclass
class _Reliability:
    """How a node replies to questions.

    :param unanswered: questions in a row without a reply.
    :param replaced_until: local monotonic time in seconds until which the
        next node stands in for it.
    """

    unanswered: int = 0
    replaced_until: float = NEVER


class SendGrants:
    """Permissions to send requests to endpoints with limits.

    :param metrics: counts the permissions.
    :param rng: draws numbers.

    ``cold`` knows which endpoints are cold.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._limits = dispatch.NamedLimits()
        self.cold = cold_monitor.ColdMonitor(metrics)
        self._metrics = metrics
        self._rng = rng
        self._slots = dispatch.SendSlots()
        self._send_to: SendTo = lambda node, question: None
        self._owners_of: OwnersOf = lambda domain, protocol: Owners("", ("",))
        self._waiting: dict[int, trio.MemorySendChannel] = {}
        self._kept: collections.OrderedDict[int, limit_messages.SendReply] = (
            collections.OrderedDict()
        )
        self._reliability: dict[str, _Reliability] = collections.defaultdict(
            _Reliability
        )
        # Local monotonic times in seconds before which not to ask.
        self._refused_until: dict[fleet.Incarnation, float] = {}

    def exchange_through(self, send_to: SendTo, owners_of: OwnersOf) -> None:
        """Set how to reach the other nodes.

        :param send_to: sends a question to a node.
        :param owners_of: returns the nodes that may own the limits of the
            endpoints of a failure domain and understand the questions.
        """
        self._send_to = send_to
        self._owners_of = owners_of

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint may have a limit."""
        return self._limits.has_any or self.cold.has_any

    def is_limited(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether an endpoint has named a limit or is cold.

        :param endpoint: the endpoint.
        """
        if self._limits.rate(fleet.incarnation_of(endpoint)) is not None:
            return True
        return self.is_cold(endpoint)

    def rate(self, endpoint: fleet.Endpoint, now: float) -> float | None:
        """Return the requests a second that an endpoint takes.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: of all nodes together; None if it has no limit.
        """
        named = self._limits.rate(fleet.incarnation_of(endpoint))
        return dispatch.effective_rate(named, self.cold.rate(endpoint, now))

    def is_cold(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether an endpoint is cold.

        :param endpoint: the endpoint.
        """
        return self.cold.rate(endpoint, trio.current_time()) is not None

    def wait_s(self, endpoint: fleet.Endpoint, now: float) -> float | None:
        """Return the known time until a request may be sent to an endpoint.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: seconds; None if it has no limit.
        """
        if not self.is_limited(endpoint):
            return None
        incarnation = fleet.incarnation_of(endpoint)
        return max(self._refused_until.get(incarnation, NEVER) - now, 0.0)

    async def acquire(
        self, endpoint: fleet.Endpoint, max_wait_s: float
    ) -> bool:
        """Wait for the permission to send one request to an endpoint.

        :param endpoint: the endpoint, which has a limit.
        :param max_wait_s: longest wait in seconds.
        :returns: whether the request may be sent now.
        """
        incarnation = fleet.incarnation_of(endpoint)
        asked_at = trio.current_time()
        if not self.is_limited(endpoint):
            return True
        max_wait_s = min(max_wait_s, dispatch.MAX_WAIT_S)
        earliest_at = self._refused_until.get(incarnation, NEVER)
        if earliest_at - asked_at > max_wait_s:
            return False
        reply = await self._ask(endpoint, max_wait_s)
        if reply is None:
            self._metrics.count_grant("unanswered")
            reply = limit_messages.SendReply(0, False, UNANSWERED_WAIT_S)
        if not reply.is_granted:
            self._metrics.count_grant("refused")
            self._refused_until[incarnation] = (
                trio.current_time() + reply.wait_s
            )
            return False
        await trio.sleep(reply.wait_s)
        # The reserved time is this one or a later one.
        delay_s = trio.current_time() - asked_at - reply.wait_s
        if delay_s > dispatch.MAX_REPLY_DELAY_S and self.is_cold(endpoint):
            self._metrics.count_grant("late")
            return False
        self._metrics.count_grant("granted")
        return True

    def record_lapsed(self, endpoint: fleet.Endpoint) -> None:
        """Record that a grant lapsed before a connection was established.

        The endpoint is not asked for again for some time, as the next
        connection may take as long.

        :param endpoint: the endpoint.
        """
        self._metrics.count_grant("late")
        until = trio.current_time() + UNANSWERED_WAIT_S
        self._refused_until[fleet.incarnation_of(endpoint)] = until

    async def _ask(
        self, endpoint: fleet.Endpoint, max_wait_s: float
    ) -> limit_messages.SendReply | None:
        """Ask the owner of a limit; return its reply, if any."""
        question = self._question(endpoint, max_wait_s)
        owners = self._owners_of(endpoint.failure_domain, question.protocol)
        rank, node = self._owner(endpoint.endpoint_id, owners)
        question = dataclasses.replace(question, rank=rank)
        if node == owners.own:
            return self.answer(question, trio.current_time())
        reply = await self._exchange(node, question)
        self._record_reply(node, reply is not None)
        return reply

    def _question(
        self, endpoint: fleet.Endpoint, max_wait_s: float
    ) -> limit_messages.SendQuestion:
        incarnation = fleet.incarnation_of(endpoint)
        now = trio.current_time()
        known = self._limits.limit_of(incarnation)
        return limit_messages.SendQuestion(
            self._rng.getrandbits(NUMBER_BITS),
            None
            if known is None
            else limit_messages.notice_of(incarnation, known, now),
            0,
            max_wait_s,
            self.cold.notice_of(incarnation, now),
        )

    def _owner(self, endpoint_id: str, owners: Owners) -> tuple[int, str]:
        """Return the rank and name of the node that owns a limit now."""
        order = membership.owners_of(
            endpoint_id, owners.names, len(dispatch.SHARES)
        )
        now = trio.current_time()
        for rank, node in enumerate(order):
            if node == owners.own:
                return rank, node
            if now >= self._reliability[node].replaced_until:
                return rank, node
        return 0, order[0]

    async def _exchange(
        self, node: str, question: limit_messages.SendQuestion
    ) -> limit_messages.SendReply | None:
        sender, receiver = trio.open_memory_channel[limit_messages.SendReply](
            1
        )
        self._waiting[question.number] = sender
        try:
            for _ in range(MAX_TRIES):
                self._send_to(node, question)
                with trio.move_on_after(REPLY_TIMEOUT_S):
                    return await receiver.receive()
        finally:
            del self._waiting[question.number]
        return None

    def _record_reply(self, node: str, is_answered: bool) -> None:
        found = self._reliability[node]
        found.unanswered = 0 if is_answered else found.unanswered + 1
        if found.unanswered >= MAX_UNANSWERED:
            found.unanswered = 0
            found.replaced_until = trio.current_time() + REPLACED_S
            _LOG.info("%s does not reply to questions on limits", node)

    def apply_reply(self, reply: limit_messages.SendReply) -> None:
        """Hand a received reply to the request that waits for it.

        :param reply: the reply.
        """
        waiting = self._waiting.get(reply.number)
        if waiting is not None:
            with contextlib.suppress(trio.WouldBlock):
                waiting.send_nowait(reply)

    def answer(
        self, question: limit_messages.SendQuestion, now: float
    ) -> limit_messages.SendReply:
        """Answer a question for an endpoint whose limit this node owns.

        :param question: the question.
        :param now: local monotonic time in seconds.
        """
        kept = self._kept.get(question.number)
        if kept is not None:
            return kept
        if question.notice is not None:
            self.apply_notice(question.notice, now)
        self.cold.apply_question(question, now)
        reply = limit_messages.SendReply(
            question.number, *self._reserve(question, now)
        )
        self._kept[question.number] = reply
        if len(self._kept) > MAX_KEPT_REPLIES:
            self._kept.popitem(last=False)
        return reply

    def _reserve(
        self, question: limit_messages.SendQuestion, now: float
    ) -> tuple[bool, float]:
        """Reserve a time; return whether there is one, and when it is."""
        incarnation = question.incarnation
        cold_per_s = self.cold.rate_of_question(question, now)
        rate = dispatch.effective_rate(
            self._limits.rate(incarnation), cold_per_s
        )
        if rate is None:
            # It has ended, which the asking node does not know yet.
            return True, 0.0
        burst_s = dispatch.BURST_S
        if cold_per_s is not None:
            burst_s = dispatch.COLD_BURST_S
            if question.rank == 0 and self.cold.is_view_old:
                rate *= dispatch.SHARES[-1]
        return self._slots.reserve(
            incarnation,
            question.rank,
            rate,
            question.max_wait_s,
            now,
            burst_s,
            self.cold.quiet_until(incarnation),
        )

    def apply_notice(
        self, notice: limit_messages.LimitNotice, now: float
    ) -> None:
        """Record what another node has observed.

        :param notice: the observation.
        :param now: local monotonic time in seconds.
        """
        self.record_limit(notice.incarnation, notice.per_s, now - notice.age_s)

    def record_limit(
        self, endpoint: fleet.Incarnation, per_s: float | None, at: float
    ) -> None:
        """Record what a reply of an endpoint said about its limit.

        :param endpoint: the endpoint.
        :param per_s: requests a second; None if it named no limit.
        :param at: local monotonic time in seconds of the reply.
        """
        if not self._limits.note(endpoint, per_s, at):
            return
        name = endpoint.endpoint_id
        fields = {"endpoint": name, "limit": per_s}
        if per_s is None:
            _LOG.info("%s names no limit any more", name, extra=fields)
        else:
            _LOG.info(
                "%s takes %g requests a second from all nodes",
                name,
                per_s,
                extra=fields,
            )

    def due_notices(
        self, now: float
    ) -> tuple[limit_messages.LimitNotice, ...]:
        """Return the observations to tell other nodes.

        :param now: local monotonic time in seconds.
        """
        return tuple(
            limit_messages.notice_of(endpoint, known, now)
            for endpoint, known in self._limits.recent(now).items()
        )

    def observe(self, registry: fleet.Registry, now: float) -> None:
        """Drop what has expired, and set the metric.

        :param registry: the registered endpoints.
        :param now: local monotonic time in seconds.
        """
        self._limits.drop_expired(
            lambda endpoint: registry.get_start(endpoint) is not None, now
        )
        self._slots.drop_unused(now)
        for incarnation, until in list(self._refused_until.items()):
            if now >= until:
                del self._refused_until[incarnation]
        self._metrics.set_limited(self._limits.limited_count)
        self.cold.observe(now)
