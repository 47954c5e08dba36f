"""Faults that an engine injects into its streams."""

import dataclasses
import enum


class FaultKind(enum.Enum):
    """Kind of fault that an engine injects into its next request."""

    BREAK_BEFORE_START = "break before the start"
    BREAK_AFTER_START = "break after the start"
    REFUSE_BEFORE_START = "refuse before the start"
    REFUSE_AFTER_START = "refuse after the start"
    REJECT = "reject as invalid"
    FAIL_AFTER_START = "fail after the start"
    BREAK_BETWEEN = "break between parts"
    BREAK_BEFORE_END = "break before the end"
    SILENT_BEFORE_FIRST = "silent before the first part"
    SILENT_BETWEEN = "silent between parts"
    REPEAT = "repeat parts"
    REORDER = "reorder parts"
    END_EARLY = "end before the last part"
    LOSE_PART = "lose a part"
    COMMENT = "comments and carriage returns"
    ERROR_EVENT = "error event"
    FAIL_RUN = "fail the run between parts"
    FORGET = "forget the stream between parts"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault that is injected into one request.

    :param kind: kind of the fault.
    :param after_parts: parts that are sent before the fault, for kinds that
        occur within a stream.
    """

    kind: FaultKind
    after_parts: int = 3
