"""What must hold, from what callers got and engines ran."""

import collections
import collections.abc
import dataclasses
import json

from wasabilanding.experiments.installation import load

HTTP_OK = 200
REVOKE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """All that was seen from outside.

    :param answers: what callers got.
    :param runs: what the engines ran.
    :param broken_by_engines: what the engines saw that must not happen.
    :param revoked: keys that were revoked, with the monotonic time in
        seconds at which the store had confirmed it.
    :param planned_only: whether only planned changes happened, so that
        nothing may be cut.
    """

    answers: tuple[load.Answer, ...]
    runs: tuple[dict, ...]
    broken_by_engines: tuple[str, ...] = ()
    revoked: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    planned_only: bool = False


def _wrong_answers(
    seen: Observation,
) -> collections.abc.Iterator[str]:
    for answer in seen.answers:
        name = answer.request.request_id
        if not answer.whole or answer.status != HTTP_OK:
            continue
        if answer.request.kind == "drafts":
            if answer.body != answer.request.due:
                yield f"{name}: a stream is wrong: {answer.body!r}"
        elif json.loads(answer.body)["body"] != answer.request.body:
            yield f"{name}: got the answer to another request"


def _wrong_runs(
    seen: Observation,
) -> collections.abc.Iterator[str]:
    sent = {one.request.request_id: one for one in seen.answers}
    counts: collections.Counter[str] = collections.Counter()
    for run in seen.runs:
        name = run["request_id"]
        counts[name] += 1
        if name.startswith("probe-"):
            continue
        answer = sent.get(name)
        if answer is None:
            yield f"{name}: ran, but no caller sent it"
            continue
        request = answer.request
        if (run["path"], run["body"]) != (request.path, request.body):
            yield f"{name}: ran with path or body changed: {run}"
        if run["customer"] != "salon":
            yield f"{name}: ran for customer {run['customer']!r}"
        if not run["whole"]:
            yield f"{name}: ran in a replica that was never whole"
        revoked_at = seen.revoked.get(request.key, float("inf"))
        if answer.sent_at > revoked_at + REVOKE_S:
            yield f"{name}: ran with a key revoked {REVOKE_S} s before"
    for name, count in counts.items():
        answer = sent.get(name)
        if answer is None:
            continue
        if count > 1 and answer.request.kind == "sheets":
            yield f"{name}: ran {count} times, at most once is allowed"
        if answer.status in load.NOT_RUN_STATUSES and answer.whole:
            yield f"{name}: was answered {answer.status}, but ran"


def _cut_answers(
    seen: Observation,
) -> collections.abc.Iterator[str]:
    if not seen.planned_only:
        return
    ran = {run["request_id"] for run in seen.runs}
    for answer in seen.answers:
        # A request that crosses the close of an idle connection, and that
        # nothing was done with, may be sent again.
        taken = answer.status or answer.request.request_id in ran
        if answer.sent and not answer.whole and taken:
            yield (
                f"{answer.request.request_id}: cut at {answer.gateway} by a "
                f"planned change, status {answer.status}"
            )


def violations(seen: Observation) -> list[str]:
    """Return what did not hold.

    :param seen: all that was seen.
    """
    return [
        *_wrong_answers(seen),
        *_wrong_runs(seen),
        *_cut_answers(seen),
        *seen.broken_by_engines,
    ]
