"""Counters and latency histograms of a gateway.

They are kept as plain numbers: a node counts each request, but few nodes are
ever asked for their metrics. :mod:`wasabilanding.gateway.metrics_export` turns
the numbers into text; it is imported on the first request for the text, so
that a restarted node serves callers sooner.
"""

import bisect
import collections
import collections.abc
import dataclasses
import importlib

from wasabilanding import listening
from wasabilanding import model

# The latency goals of requests lie between 0.2 and 0.5 s.
LATENCY_BUCKETS_S = (
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1.0,
    2.0,
    4.0,
    8.0,
)
FIRST_EVENT_METRIC = "wasabilanding_first_event_seconds"
ANSWER_METRIC = "wasabilanding_answer_seconds"
WAIT_METRIC = "wasabilanding_wait_seconds"
LAG_METRIC = "wasabilanding_loop_lag_seconds"
EXPORT_MODULE = "wasabilanding.gateway.metrics_export"

# Names and values of labels, in a fixed order.
Labels = tuple[tuple[str, str], ...]
CountsByLabels = collections.Counter[Labels]


@dataclasses.dataclass
class Histogram:
    """Distribution of a duration.

    :param counts: values in each bucket; the last one has no upper bound.
    :param sum_s: sum of all values in seconds.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    sum_s: float = 0.0

    def record(self, value_s: float) -> None:
        """Add a value.

        :param value_s: duration in seconds.
        """
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, value_s)] += 1
        self.sum_s += value_s


class Metrics:
    """Metrics of one gateway.

    :param node: name of the node.
    :param log_lines_dropped: number of dropped log lines by reason and kind,
        which the log keeps up to date.
    """

    def __init__(
        self,
        node: str,
        log_lines_dropped: collections.abc.Mapping[Labels, int] | None = None,
    ) -> None:
        self.node = node
        self.log_lines_dropped = log_lines_dropped or {}
        self.requests: CountsByLabels = collections.Counter()
        self.attempts: CountsByLabels = collections.Counter()
        self.silences: CountsByLabels = collections.Counter()
        self.store_calls: CountsByLabels = collections.Counter()
        self.orders: CountsByLabels = collections.Counter()
        self.notices: CountsByLabels = collections.Counter()
        self.grants: CountsByLabels = collections.Counter()
        self.limited: dict[Labels, int] = {}
        self.cold: dict[Labels, int] = {}
        self.crashes: CountsByLabels = collections.Counter()
        self.suspected: dict[Labels, int] = {}
        self.relayed: CountsByLabels = collections.Counter()
        self.is_cut_off = False
        self.refusals: CountsByLabels = collections.Counter()
        self.waiting: dict[Labels, int] = {}
        self.evacuated: dict[Labels, int] = {}
        self.evacuation_refusals: CountsByLabels = collections.Counter()
        self.region_refusals: CountsByLabels = collections.Counter()
        self.retry_deposits: CountsByLabels = collections.Counter()
        self.repeats: CountsByLabels = collections.Counter()
        self.retry_tokens: dict[Labels, float] = {}
        self.retry_capacity: dict[Labels, float] = {}
        self.retry_nodes: dict[Labels, int] = {}
        self.loop_failures: CountsByLabels = collections.Counter()
        self.connection_closes: CountsByLabels = collections.Counter()
        self.stranded: dict[Labels, int] = {}
        self.capacity: dict[Labels, int] = {}
        self.held: dict[Labels, int] = {}
        # Bytes held for others, by kind; the node's account changes them.
        self.memory_held: dict[Labels, int] = {}
        self.memory_refusals: CountsByLabels = collections.Counter()
        self.leaving: dict[Labels, int] = {}
        self.rejected_registrations: dict[Labels, int] = {}
        self.longest_leaving_s: dict[Labels, int] = {}
        self.store_era: dict[Labels, int] = {}
        self.store_restores: CountsByLabels = collections.Counter({(): 0})
        self.first_event: dict[Labels, Histogram] = collections.defaultdict(
            Histogram
        )
        self.answer: dict[Labels, Histogram] = collections.defaultdict(
            Histogram
        )
        self.waits: dict[Labels, Histogram] = collections.defaultdict(
            Histogram
        )
        self.loop_lag: dict[Labels, Histogram] = {(): Histogram()}
        self.closes_at_send: CountsByLabels = collections.Counter()
        self._export: collections.abc.Callable[[], bytes] | None = None

    def count_request(
        self,
        service: str,
        status: int,
        first_s: float | None,
        whole_s: float,
    ) -> None:
        """Count a request that has ended.

        :param service: its service; empty if none was found.
        :param status: HTTP status sent to the caller; 0 for none.
        :param first_s: seconds until its answer began; None if it did not.
        :param whole_s: seconds until it ended.
        """
        labels = (("service", service),)
        self.requests[(*labels, ("status", str(status)))] += 1
        if first_s is not None:
            self.first_event[labels].record(first_s)
        self.answer[labels].record(whole_s)

    def count_attempt(self, service: str, outcome: model.Outcome) -> None:
        """Count an attempt that has ended.

        :param service: its service.
        :param outcome: its outcome.
        """
        labels = (
            ("service", service),
            ("verdict", outcome.verdict.value),
            ("reason", outcome.reason.value),
        )
        self.attempts[labels] += 1

    def count_silence(self, service: str) -> None:
        """Count an endpoint that became silent during an attempt.

        :param service: its service.
        """
        self.silences[(("service", service),)] += 1

    def count_store_call(self, operation: str, result: str) -> None:
        """Count a call to the platform's store.

        :param operation: name of the call.
        :param result: result of the call.
        """
        labels = (("operation", operation), ("result", result))
        self.store_calls[labels] += 1

    def count_order(self, kind: str, result: str) -> None:
        """Count an order to an endpoint.

        :param kind: kind of the order.
        :param result: HTTP status, or the reason why there is none.
        """
        self.orders[(("kind", kind), ("result", result))] += 1

    def count_notice(self, kind: str) -> None:
        """Count what an endpoint has asked for in the head of a reply.

        :param kind: "leaving" or "retry_after".
        """
        self.notices[(("kind", kind),)] += 1

    def count_grant(self, result: str) -> None:
        """Count a question for the permission to send a request.

        :param result: "granted"; "refused"; "unanswered", which counts as
            refused; or "late", a grant that lapsed.
        """
        self.grants[(("result", result),)] += 1

    def set_limited(self, count: int) -> None:
        """Set the number of endpoints that name a limit.

        :param count: the number.
        """
        self.limited[()] = count

    def set_cold(self, count: int) -> None:
        """Set the number of endpoints that are cold.

        :param count: the number.
        """
        self.cold[()] = count

    def count_crash(self, kind: str) -> None:
        """Count an endpoint that ended under requests, or a rejection.

        :param kind: "crash" that this node found; "rejection" of a request
            that is suspected of causing crashes, or "part_rejection" for a
            part of its prompt.
        """
        self.crashes[(("kind", kind),)] += 1

    def set_suspected(self, counts: collections.abc.Mapping[str, int]) -> None:
        """Set the number of requests under which endpoints have ended.

        :param counts: number of requests and of parts of prompts, by state.
        """
        for state, count in counts.items():
            self.suspected[(("state", state),)] = count

    def set_evacuated(self, count: int) -> None:
        """Set the number of evacuated failure domains.

        :param count: the number.
        """
        self.evacuated[()] = count

    def count_evacuation(self, kind: str) -> None:
        """Count a request that an evacuation has kept from an endpoint.

        :param kind: "held_back" if its endpoint was chosen before,
            "rejected" if no other endpoint could serve it.
        """
        self.evacuation_refusals[(("kind", kind),)] += 1

    def count_region_refusal(self, kind: str) -> None:
        """Count a request that its allowed regions keep from an endpoint.

        :param kind: "held_back" if its endpoint or node was chosen before,
            "rejected" if no other one could serve it.
        """
        self.region_refusals[(("kind", kind),)] += 1

    def count_retry_deposit(self, service: str, is_relayed: bool) -> None:
        """Count a request that adds to the retry budget.

        :param service: its service.
        :param is_relayed: whether another node has handed it to this one.
        """
        origin = "node" if is_relayed else "caller"
        self.retry_deposits[(("service", service), ("origin", origin))] += 1

    def count_repeat(self, service: str, cause: str, result: str) -> None:
        """Count a decision on a further attempt of a request.

        :param service: its service.
        :param cause: what the attempt is for: "retry", "resumption" of a
            stream, "second_copy" beside a silent attempt, or "relay" to
            another node.
        :param result: "charged" to the retry budget; "free", as the previous
            attempt did not reach its endpoint; or "refused" by the budget.
        """
        labels = (("service", service), ("cause", cause), ("result", result))
        self.repeats[labels] += 1

    def set_retry_budget(
        self,
        nodes: int,
        capacity: float,
        tokens: collections.abc.Mapping[str, float],
    ) -> None:
        """Set the state of this node's retry budget.

        :param nodes: number of nodes that are known to share the allowance.
        :param capacity: most tokens that the node saves for a service.
        :param tokens: tokens that it has, by service.
        """
        self.retry_nodes[()] = nodes
        self.retry_capacity[()] = capacity
        for service, count in tokens.items():
            self.retry_tokens[(("service", service),)] = count

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this node reaches no endpoint.

        :param is_cut_off: whether it reaches none.
        """
        self.is_cut_off = is_cut_off

    def count_relay(self, role: str, result: str) -> None:
        """Count a request that one node hands to another.

        :param role: "sender" or "server".
        :param result: "taken" or "refused"; for a sender its outcome.
        """
        self.relayed[(("role", role), ("result", result))] += 1

    def set_waiting(self, counts: collections.abc.Mapping[str, int]) -> None:
        """Set the number of requests that wait at this node.

        :param counts: number of requests, by pool.
        """
        for pool, count in counts.items():
            self.waiting[(("pool", pool),)] = count

    def count_wait(self, service: str, waited_s: float) -> None:
        """Count a wait that has ended.

        :param service: service of the request.
        :param waited_s: seconds for which it waited.
        """
        self.waits[(("service", service),)].record(waited_s)

    def count_refusal(self, service: str, cause: str) -> None:
        """Count a request that is refused because slots are in use.

        :param service: its service.
        :param cause: "forecast" on arrival, "late" after waiting, or
            "stopping".
        """
        self.refusals[(("service", service), ("cause", cause))] += 1

    def count_memory_refusal(self, cause: str) -> None:
        """Count a request that is refused for lack of memory.

        :param cause: "request" if it is too large by itself, "node" if the
            node holds too much, "endpoint" if no endpoint can ever hold it,
            "body_not_sent" if its body did not arrive.
        """
        self.memory_refusals[(("cause", cause),)] += 1

    def set_held(self, counts: collections.abc.Mapping[str, int]) -> None:
        """Set the number of endpoints that receive no or few requests.

        :param counts: number of endpoints, by state.
        """
        for state, count in counts.items():
            self.held[(("state", state),)] = count

    def set_leaving(self, count: int, longest_s: int) -> None:
        """Set the number of endpoints that announced their shutdown.

        :param count: number of those that are still registered.
        :param longest_s: seconds since the first announcement of them.
        """
        self.leaving[()] = count
        self.longest_leaving_s[()] = longest_s

    def set_rejected_registrations(self, count: int) -> None:
        """Set the number of registrations that name no endpoint.

        :param count: the number.
        """
        self.rejected_registrations[()] = count

    def count_loop_failure(self, name: str) -> None:
        """Count a failure of a background loop.

        :param name: name of the loop.
        """
        self.loop_failures[(("loop", name),)] += 1

    def count_connection_close(
        self, listener: str, close: listening.Close
    ) -> None:
        """Count a connection that has ended.

        :param listener: name of its listener.
        :param close: how it has ended.
        """
        labels = (
            ("listener", listener),
            ("cause", close.cause.value),
            ("unanswered", "yes" if close.is_unanswered else "no"),
        )
        self.connection_closes[labels] += 1

    def record_loop_lag(self, lag_s: float) -> None:
        """Record by how much the event loop has run a task too late.

        :param lag_s: seconds.
        """
        self.loop_lag[()].record(lag_s)

    def count_close_at_send(self, target: str) -> None:
        """Count a caller that is found to have left as its request is sent.

        :param target: "endpoint", or "node" for another node.
        """
        self.closes_at_send[(("target", target),)] += 1

    def set_stranded(self, failure_domain: str, count: int) -> None:
        """Set the number of endpoints of model services that do not serve.

        :param failure_domain: failure domain that this node plans.
        :param count: number of endpoints.
        """
        self.stranded[(("failure_domain", failure_domain),)] = count

    def set_capacity(
        self,
        failure_domain: str,
        counts: collections.abc.Mapping[tuple[str, str], int],
    ) -> None:
        """Set the numbers of endpoints of model services by their state.

        :param failure_domain: failure domain that this node plans.
        :param counts: endpoints by model and state; empty while the node does
            not plan the failure domain.
        """
        domain_label = ("failure_domain", failure_domain)
        for labels in [key for key in self.capacity if domain_label in key]:
            del self.capacity[labels]
        for (model_name, state), count in counts.items():
            labels = (domain_label, ("model", model_name), ("state", state))
            self.capacity[labels] = count

    def set_store_era(self, era: model.Era) -> None:
        """Set the era of the store; a later one means that it was restored.

        :param era: the first era that is known, or a newer one.
        """
        before = self.store_era.get((), era)
        self.store_restores[()] += era - before
        self.store_era[()] = era

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self._export is None:
            module = importlib.import_module(EXPORT_MODULE)
            self._export = module.exporter(self)
        return self._export()
