"""Datagrams between nodes: what they have observed of endpoints.

See :mod:`wasabilanding.gateway.hints` for who sends what to whom.
"""

import dataclasses
import operator
import typing

import pydantic

from wasabilanding import changefeed
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import evacuation_messages
from wasabilanding.gateway import limit_messages
from wasabilanding import model

# Digits of the seconds since an endpoint's last progress.
AGE_DIGITS = 3
# The field is left out of a datagram without notices, to keep it small.
EvacuationNotices = typing.Annotated[
    tuple[evacuation_messages.EvacuationNotice, ...],
    pydantic.Field(exclude_if=operator.not_),
]


@dataclasses.dataclass(frozen=True)
class LeavingEndpoint:
    """An endpoint that has announced its shutdown.

    :param endpoint_id: its identity.
    :param started_at_ms: Unix time in milliseconds of its start.
    """

    endpoint_id: str
    started_at_ms: model.Count


@dataclasses.dataclass(frozen=True)
class Hint:
    """One node's observations of endpoints.

    :param node: name of the node.
    :param silent: identity of an endpoint that shows no progress; empty for
        none.
    :param in_flight: the node's requests in flight, by endpoint; None if not
        included.
    :param worked_ago_s: seconds since the node last saw progress of an
        endpoint, for endpoints with recent progress.
    :param number: number that a collector repeats; 0 for none.
    :param leaving: endpoints that have recently announced their shutdown.
    :param crashes: reports on requests under which endpoints have ended.
    :param limits: limits that endpoints have recently named, or ended.
    :param cold: endpoints whose replies have recently said that they are
        cold, or not any more.
    :param is_cut_off: whether the node wants no requests of other nodes, as
        it reaches no endpoint, cannot check keys, or stops.
    :param silent_started_at_ms: Unix time in milliseconds of the start of the
        silent endpoint; None if unknown, as from a node of an earlier build.
    :param waiting: the node's waiting requests, by customer, by pool; as
        current as ``in_flight``, and used only with it.
    :param slot_times_s: mean times in seconds for which requests hold slots,
        by pool, as the node observes them; sent while requests wait.
    """

    node: str
    silent: str = ""
    in_flight: dict[str, model.Count] | None = None
    worked_ago_s: dict[str, model.Quantity] = dataclasses.field(
        default_factory=dict
    )
    number: model.Count = 0
    leaving: tuple[LeavingEndpoint, ...] = ()
    crashes: tuple[crash_reports.CrashReport, ...] = ()
    limits: tuple[limit_messages.LimitNotice, ...] = ()
    is_cut_off: bool = False
    silent_started_at_ms: model.Count | None = None
    waiting: dict[str, dict[str, model.Count]] = dataclasses.field(
        default_factory=dict
    )
    slot_times_s: dict[str, model.Quantity] = dataclasses.field(
        default_factory=dict
    )
    cold: tuple[limit_messages.ColdNotice, ...] = ()

    @property
    def has_notices(self) -> bool:
        """Whether it has more than load, progress and waiting requests."""
        return bool(
            self.leaving
            or self.crashes
            or self.limits
            or self.is_cut_off
            or self.cold
        )


def aged(hint: Hint, held_s: float) -> Hint:
    """Return a hint that was held for a while before it is sent on.

    Otherwise an endpoint that has stopped would seem to have progressed
    later than it did.

    :param hint: the hint.
    :param held_s: seconds for which it was held.

    Examples
    ========

    >>> from wasabilanding.gateway import hint_messages
    >>> hint = hint_messages.Hint("n1", worked_ago_s={"e1": 0.1})
    >>> hint_messages.aged(hint, 0.25).worked_ago_s
    {'e1': 0.35}
    """
    if not hint.worked_ago_s:
        return hint
    return dataclasses.replace(
        hint,
        worked_ago_s={
            name: round(ago_s + held_s, AGE_DIGITS)
            for name, ago_s in hint.worked_ago_s.items()
        },
    )


@dataclasses.dataclass(frozen=True)
class HintBatch:
    """Content of one datagram.

    :param sender: name of the node that sends it.
    :param hints: hints of one or more nodes.
    :param is_for_all: whether it is sent to all nodes; otherwise the receiver
        must forward it.
    :param changes: changes of the store; None if the sender is no collector.
    :param domain: the sender's failure domain, if it is another one than the
        receiver's; empty otherwise.
    :param version: version of the configuration in force at the sender; 0 for
        none.
    :param asks_version: whether the receiver must answer with its version.
    :param asks_crashes: whether the receiver must answer with its reports of
        crashes.
    :param questions: questions of the sender about endpoints with limits.
    :param replies: replies to such questions of the receiver.
    :param evacuations: failure domains whose evacuation the sender knows of,
        or its end.
    """

    sender: str
    hints: tuple[Hint, ...]
    is_for_all: bool = True
    changes: changefeed.Segment | None = None
    domain: str = ""
    version: model.Count = 0
    asks_version: bool = False
    asks_crashes: bool = False
    questions: tuple[limit_messages.SendQuestion, ...] = ()
    replies: tuple[limit_messages.SendReply, ...] = ()
    evacuations: EvacuationNotices = ()
