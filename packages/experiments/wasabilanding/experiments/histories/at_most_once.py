"""Checks that non-idempotent requests ran at most once."""

import collections
import collections.abc

from wasabilanding.experiments.histories import submissions

RAN = ("completed", "may_have_run", submissions.UNANSWERED)


def claim_violations(
    history: collections.abc.Iterable[submissions.Submission],
    started: collections.abc.Mapping[str, int],
) -> list[str]:
    """Return the promises that a run broke to non-idempotent requests.

    A prompt is started once at most. When every try of it was told that it
    was not run, it was not started at all. When one was told that it has
    completed, it was started. Repeats get one and the same answer.

    :param history: what callers sent and were told.
    :param started: starts of each prompt in the logs of all engines.
    """
    tries: dict[str, list[submissions.Submission]]
    tries = collections.defaultdict(list)
    for submission in history:
        if submission.key:
            tries[submission.prompt].append(submission)
    broken = []
    for prompt, group in sorted(tries.items()):
        broken += _broken(prompt, group, started.get(prompt, 0))
    return broken


def _broken(
    prompt: str, tries: list[submissions.Submission], started: int
) -> list[str]:
    verdicts = sorted({submission.verdict for submission in tries})
    texts = {s.text for s in tries if s.text}
    broken = []
    if started > 1:
        broken.append(f"{prompt!r} was started {started} times")
    if started and not any(verdict in RAN for verdict in verdicts):
        broken.append(f"{prompt!r} was started, but all were told not_run")
    if not started and "completed" in verdicts:
        broken.append(f"{prompt!r} has completed without a start")
    if len(texts) > 1:
        broken.append(f"{prompt!r} had {len(texts)} different answers")
    return broken
