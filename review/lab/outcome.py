"""Checks of rules over what clients and engines saw; exit statuses."""

import asyncio
import collections
import collections.abc
import sys
import traceback

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
# Answers that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# A request has its answer so long after its route's timeout at the latest.
TIMEOUT_SLACK_S = 0.5
MIN_LATE = 8
# A case that serves less than this without its disruption shows nothing.
MIN_SERVED = 0.9


def check_single_runs(record, answers, runs) -> int:
    """Check requests that may run once at most: TWICE and REFUSED.

    :param record: receives each request that breaks a rule.
    :param answers: answers by request; None for none.
    :param runs: what engines began to run.
    """
    counts = collections.Counter(run.request_id for run in runs)
    broken = 0
    for request_id, answer in answers.items():
        status = answer.status if answer else 0
        if counts[request_id] > 1:
            broken += 1
            engines = [r.engine for r in runs if r.request_id == request_id]
            record.write(f"TWICE: {request_id} ran at {engines}")
        if status in PROMISES and counts[request_id]:
            broken += 1
            record.write(f"REFUSED: {request_id} got {status} and has run")
    served = sum(1 for a in answers.values() if a and a.status == 200)
    record.write(
        f"{len(answers)} requests, {served} served, {broken} break a rule"
    )
    if served < MIN_SERVED * len(answers):
        return COULD_NOT_RUN
    return BROKEN if broken else HELD


def check_statuses(record, answers, given) -> int:
    """Check MIXED: failures with a seal that no engine has given.

    :param record: receives each request that breaks the rule.
    :param answers: answers by request; None for none.
    :param given: status that the engines have given to each request.
    """
    broken = 0
    for request_id, answer in answers.items():
        if answer is None or answer.status == given:
            continue
        if "server-seal" in answer.headers:
            broken += 1
            seal = answer.headers["server-seal"]
            record.write(
                f"MIXED: {request_id} got {answer.status} with seal {seal!r}"
            )
    served = sum(1 for a in answers.values() if a and a.status == given)
    record.write(
        f"{len(answers)} requests, {served} served, {broken} break the rule"
    )
    if served < MIN_SERVED * len(answers):
        return COULD_NOT_RUN
    return BROKEN if broken else HELD


def check_timeouts(record, answers, timeout_s) -> int:
    """Check CONFIG: requests that are unanswered at their route's timeout.

    :param record: receives each request that is answered too late.
    :param answers: answers and seconds until them, by request.
    :param timeout_s: the route's timeout in seconds.
    """
    unanswered = 0
    late = 0
    for request_id, (_, took_s) in answers.items():
        unanswered += took_s > timeout_s
        if took_s > timeout_s + TIMEOUT_SLACK_S:
            late += 1
            record.write(f"CONFIG: {request_id} took {took_s:.2f} s")
    served = sum(1 for a, _ in answers.values() if a and a.status == 200)
    record.write(
        f"{len(answers)} requests, {served} served, {unanswered} unanswered "
        f"at {timeout_s} s, {late} of them {TIMEOUT_SLACK_S} s later"
    )
    is_broken = late >= MIN_LATE and 2 * late > unanswered
    return BROKEN if is_broken else HELD


def exit_with(main: collections.abc.Callable) -> None:
    """Run a case and exit with its status."""
    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)
