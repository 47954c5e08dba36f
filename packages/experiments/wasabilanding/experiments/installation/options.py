"""Options of a run of the soak test."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Options:
    """What a run of the soak test does.

    :param seconds: time in which faults and changes are started.
    :param planned_only: whether to make planned changes only, no faults.
    :param pauses: whether engines also pause and go on beside the planned
        changes, which excuses no cut answer.
    :param evacuations: whether failure domains are evacuated beside the other
        planned changes.
    :param poison: whether requests that end engines are among the faults.
    :param idle: whether the operator also changes a short idle timeout again
        and again, with callers whose requests come at its end.
    :param callers: number of concurrent callers.
    :param slow_callers: how many of them pause while they read an answer.
    :param max_events: longest stream in events.
    :param piped_gateways: gateways whose standard output is a pipe that is
        at times read slowly or not at all.
    :param nodes_per_domain: gateways in each failure domain.
    """

    seconds: float = 12.0
    planned_only: bool = False
    pauses: bool = False
    evacuations: bool = False
    poison: bool = False
    idle: bool = False
    callers: int = 12
    slow_callers: int = 0
    max_events: int = 40
    piped_gateways: int = 0
    nodes_per_domain: int = 2
