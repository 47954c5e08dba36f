"""Checks that non-idempotent requests ran at most once."""

import collections
import collections.abc

from wasabilanding.experiments.histories import submissions

POSSIBLY_RUN_VERDICTS = ("completed", "may_have_run", submissions.UNANSWERED)


def claim_violations(
    history: collections.abc.Iterable[submissions.Submission],
    started: collections.abc.Mapping[str, int],
) -> list[str]:
    """Return the violations of the at-most-once property in a run.

    Each prompt is started at most once. It is not started if all its attempts
    got the verdict not_run, and it is started if one attempt got completed.
    All successful attempts get the same answer.

    :param history: attempts of the callers and their results.
    :param started: number of starts of each prompt in the logs of all
        engines.
    """
    attempts: dict[str, list[submissions.Submission]]
    attempts = collections.defaultdict(list)
    for submission in history:
        if submission.key:
            attempts[submission.prompt].append(submission)
    violations = []
    for prompt, group in sorted(attempts.items()):
        violations += _prompt_violations(prompt, group, started.get(prompt, 0))
    return violations


def _prompt_violations(
    prompt: str, attempts: list[submissions.Submission], started: int
) -> list[str]:
    verdicts = sorted({submission.verdict for submission in attempts})
    texts = {s.text for s in attempts if s.text}
    violations = []
    if started > 1:
        violations.append(f"{prompt!r} was started {started} times")
    if started and not any(
        verdict in POSSIBLY_RUN_VERDICTS for verdict in verdicts
    ):
        violations.append(
            f"{prompt!r} was started, but all attempts got not_run"
        )
    if not started and "completed" in verdicts:
        violations.append(f"{prompt!r} completed without a start")
    if len(texts) > 1:
        violations.append(f"{prompt!r} got {len(texts)} different answers")
    return violations
