"""Checks answers and engine runs against the guarantees."""

import collections
import collections.abc
import dataclasses
import json

from wasabilanding.experiments.installation import crashing_requests
from wasabilanding.experiments.installation import cuts
from wasabilanding.experiments.installation import evacuation
from wasabilanding.experiments.installation import load

HTTP_OK = 200
REVOCATION_BOUND_S = 5.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """Observable behaviour of an installation.

    :param answers: answers that callers received.
    :param runs: requests that the engines ran.
    :param engine_violations: violations that the engines detected.
    :param revoked: revoked API keys, with the monotonic time in seconds at
        which the store confirmed the revocation.
    :param planned_only: whether only planned changes were made, so that no
        answer may be cut.
    :param excuses: what excuses a cut answer.
    :param late_exits: gateways that did not exit in time after a SIGTERM.
    :param evacuations: evacuations of failure domains.
    :param arrivals: callers' requests that reached the engines.
    :param crashing_runs: requests that end engines, as the engines ran them.
    """

    answers: tuple[load.Answer, ...]
    runs: tuple[dict, ...]
    engine_violations: tuple[str, ...] = ()
    revoked: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    planned_only: bool = False
    excuses: cuts.Excuses = dataclasses.field(default_factory=cuts.Excuses)
    late_exits: tuple[str, ...] = ()
    evacuations: tuple[evacuation.Evacuation, ...] = ()
    arrivals: tuple[evacuation.Arrival, ...] = ()
    crashing_runs: tuple[dict, ...] = ()


def _wrong_answers(
    observation: Observation,
) -> collections.abc.Iterator[str]:
    for answer in observation.answers:
        request_id = answer.request.request_id
        if not answer.complete or answer.status != HTTP_OK:
            continue
        if answer.request.kind == "drafts":
            if answer.body != answer.request.expected_stream:
                yield f"{request_id}: a stream is wrong: {answer.body!r}"
        elif json.loads(answer.body)["body"] != answer.request.body:
            yield f"{request_id}: got the answer to another request"


def _wrong_runs(
    observation: Observation,
) -> collections.abc.Iterator[str]:
    answers_by_id = {
        answer.request.request_id: answer for answer in observation.answers
    }
    counts: collections.Counter[str] = collections.Counter()
    for run in observation.runs:
        request_id = run["request_id"]
        counts[request_id] += 1
        if request_id.startswith("probe-"):
            continue
        answer = answers_by_id.get(request_id)
        if answer is None:
            yield f"{request_id}: ran, but no caller sent it"
            continue
        request = answer.request
        if (run["path"], run["body"]) != (request.path, request.body):
            yield f"{request_id}: ran with path or body changed: {run}"
        if run["customer"] != "salon":
            yield f"{request_id}: ran for customer {run['customer']!r}"
        if not run["whole"]:
            yield f"{request_id}: ran in a replica that was never whole"
        revoked_at = observation.revoked.get(request.key, float("inf"))
        if answer.sent_at > revoked_at + REVOCATION_BOUND_S:
            yield (
                f"{request_id}: ran with a key revoked {REVOCATION_BOUND_S} s "
                "before"
            )
    for request_id, count in counts.items():
        answer = answers_by_id.get(request_id)
        if answer is None:
            continue
        if count > 1 and answer.request.kind == "sheets":
            yield f"{request_id}: ran {count} times, at most once is allowed"
        if answer.status in load.NOT_RUN_STATUSES and answer.complete:
            yield f"{request_id}: was answered {answer.status}, but ran"


def _cut_answers(
    observation: Observation,
) -> collections.abc.Iterator[str]:
    violations = cuts.STRICT_VIOLATIONS
    if observation.planned_only:
        violations = cuts.VIOLATIONS
    sorter = cuts.Sorter(observation.runs, observation.excuses)
    for answer in observation.answers:
        ending = sorter.ending(answer)
        if ending in violations:
            yield str(sorter.unfinished(answer))


def _late_exits(
    observation: Observation,
) -> collections.abc.Iterator[str]:
    if observation.planned_only:
        for name in observation.late_exits:
            yield f"{name}: did not exit in time after a SIGTERM"


def _late_arrivals(
    observation: Observation,
) -> collections.abc.Iterator[str]:
    """Yield requests to evacuated failure domains.

    Under faults a gateway may be cut off from the store and from its peers,
    or go on from where it was suspended.
    """
    if observation.planned_only:
        yield from evacuation.find_violations(
            observation.evacuations, observation.arrivals
        )


def find_violations(observation: Observation) -> list[str]:
    """Return a description of each violated guarantee.

    :param observation: observed behaviour.
    """
    return [
        *_wrong_answers(observation),
        *_wrong_runs(observation),
        *_cut_answers(observation),
        *_late_exits(observation),
        *_late_arrivals(observation),
        *crashing_requests.find_violations(observation.crashing_runs),
        *observation.engine_violations,
    ]
