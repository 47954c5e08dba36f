"""Writes a datagram with all messages, or reads one that another build wrote.

Run by Python with the sources of either commit, ``write`` prints a datagram
that has each field which the sources know, and ``read`` prints what the
sources understand of the one on standard input.
"""

import dataclasses
import importlib
import sys
import typing

from wasabilanding import changefeed
from wasabilanding import fleet
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import directory
from wasabilanding.gateway import hint_messages
from wasabilanding.gateway import join_intents
from wasabilanding.gateway import limit_messages
from wasabilanding import model
from wasabilanding import poison

WRITE = "write"
READ = "read"
ENDPOINT = {"endpoint_id": "e1", "started_at_ms": 7}


@dataclasses.dataclass(frozen=True)
class Sample:
    """All that nodes send to each other or store.

    :param batch: a datagram.
    :param address: a node's address in the store.
    :param intent: record of a join order.
    """

    batch: hint_messages.HintBatch
    address: directory.NodeAddress
    intent: join_intents.JoinIntent


def _made(kind: type[typing.Any], **values: typing.Any) -> typing.Any:
    """Return an instance with those of the values that it has fields for."""
    known = {field.name for field in dataclasses.fields(kind)}
    return kind(**{k: v for k, v in values.items() if k in known})


def _if_known(
    module: str, name: str, **values: typing.Any
) -> tuple[typing.Any, ...]:
    """Return a message, or nothing if the sources lack its type."""
    try:
        found = importlib.import_module(f"wasabilanding.gateway.{module}")
        return (_made(getattr(found, name), **values),)
    except (ImportError, AttributeError):
        return ()


def _hint() -> hint_messages.Hint:
    report = crash_reports.CrashReport(
        poison.NoticeKind.CRASH,
        "f1",
        "e1@7",
        0.5,
        2,
        poison.Feature.PART,
        0.25,
        True,
        ("p1",),
    )
    cold = {**ENDPOINT, "left_s": 2.5, "age_s": 0.5, "per_s": 17.0}
    return _made(
        hint_messages.Hint,
        node="n1",
        silent="e1",
        in_flight={"e1": 3},
        worked_ago_s={"e1": 0.25},
        number=5,
        leaving=(hint_messages.LeavingEndpoint(**ENDPOINT),),
        crashes=(report,),
        limits=(limit_messages.LimitNotice("e1", 7, 1.5, 0.5),),
        is_cut_off=True,
        silent_started_at_ms=7,
        waiting={"pool": {"salon": 2}},
        slot_times_s={"pool": 1.5},
        cold=_if_known("limit_messages", "ColdNotice", **cold),
    )


def _sample() -> Sample:
    """Return a message with all fields that these sources know."""
    member = fleet.Membership("r1", 3, 0, fleet.MemberState.OPEN)
    endpoint = _made(
        fleet.Endpoint,
        endpoint_id="e1",
        service="writer",
        host="10.0.0.1",
        port=80,
        failure_domain="z1",
        membership=member,
        cold_left_s=2.5,
    )
    changes = _made(
        changefeed.Segment,
        after=5,
        until=9,
        age_s=0.25,
        endpoints=(endpoint,),
        removed_endpoints=("e2",),
        items={"own/a": "1", "evacuations/z1": ""},
        removed_items=("own/b",),
        era=model.Era(2),
        content=1,
    )
    notice = limit_messages.LimitNotice("e1", 7, 1.5, 0.5)
    batch = _made(
        hint_messages.HintBatch,
        sender="n1",
        hints=(_hint(),),
        is_for_all=False,
        changes=changes,
        domain="z1",
        version=4,
        asks_version=True,
        asks_crashes=True,
        questions=(limit_messages.SendQuestion(11, notice, 1, 0.25),),
        replies=(limit_messages.SendReply(12, True, 0.25),),
        evacuations=_if_known(
            "evacuation_messages",
            "EvacuationNotice",
            failure_domain="z1",
            is_evacuated=True,
            era=2,
            revision=9,
            age_s=0.5,
        ),
    )
    address = _made(
        directory.NodeAddress,
        node="n1",
        failure_domain="z1",
        host="10.0.0.1",
        port=9,
        protocol=1,
    )
    return Sample(batch, address, join_intents.JoinIntent(3, ("e1", "e2")))


def main() -> None:
    """Write a sample, or read one."""
    if sys.argv[1] == WRITE:
        print(model.encode(_sample()))
    else:
        print(model.encode(model.decode(Sample, sys.stdin.read())))


if __name__ == "__main__":
    main()
