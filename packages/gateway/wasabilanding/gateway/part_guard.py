"""Turns away requests with a part of a prompt that ends endpoints.

Explanation
===========

Requests that are all different may share a part of their prompts that ends
each endpoint that writes an answer on it. Which part that is, is decided in
:class:`wasabilanding.poison.PartSuspicions`. Until it is known, requests with
a part that is new and has ended two endpoints are tried at one endpoint, the
same on all nodes, and not repeated by the node.
"""

import collections
import collections.abc
import dataclasses
import logging

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import answered_prompts
from wasabilanding.gateway import confinement
from wasabilanding.gateway import crash_evidence
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding import poison

# A trial that has led to nothing is followed by another one after this time.
TRIAL_TIMEOUT_S = 10.0

_LOG = logging.getLogger(__name__)

State = request_state_module.RequestState


class PartGuard:
    """What a node knows of parts of prompts under which endpoints have ended.

    :param requests: what it knows of whole requests.

    ``is_tried_here`` tells whether this node is the one that tries a part
    again.
    """

    def __init__(self, requests: poison.Suspicions) -> None:
        self.is_tried_here: collections.abc.Callable[[str], bool] = (
            lambda part: True
        )
        # Local monotonic times in seconds until which no other trial begins.
        self._trials: dict[str, float] = {}
        self._suspicions = poison.PartSuspicions(requests)
        self._answered = answered_prompts.AnsweredPrompts()
        self.notices = self._suspicions.notices

    def _statuses(
        self, state: State, now: float
    ) -> list[tuple[str, poison.PartStatus]]:
        """Return the suspected parts of a request, with their status."""
        if self.notices.are_empty:
            return []
        found = [
            (part, self._suspicions.status(part, now)) for part in state.parts
        ]
        return [pair for pair in found if pair[1].crashed]

    def quarantined(self, now: float) -> tuple[str, ...]:
        """Return the parts for which requests are turned away.

        :param now: local monotonic time in seconds.
        """
        return self._suspicions.quarantined(now)

    def quarantined_part(
        self, state: State, now: float
    ) -> tuple[str, poison.PartStatus] | None:
        """Return a part for which a request is turned away; None for none.

        :param state: the request.
        :param now: local monotonic time in seconds.
        """
        for part, status in self._statuses(state, now):
            if not status.refuses(state.parts):
                continue
            if not self._begins_trial(part, status, now):
                return part, status
            state.is_trial = True
            _LOG.info(
                "request tries a part of a prompt again",
                extra={
                    "request": state.request.request_id,
                    "part": part,
                    "crashes": len(status.crashed),
                },
            )
        return None

    def _begins_trial(
        self, part: str, status: poison.PartStatus, now: float
    ) -> bool:
        """Return whether one request may try a quarantined part again."""
        if now < status.trial_at or now < self._trials.get(part, now):
            return False
        if not self.is_tried_here(part):
            return False
        self._trials[part] = now + TRIAL_TIMEOUT_S
        return True

    def forbids_repeat(self, state: State, now: float) -> bool:
        """Return whether a request that has run may end another endpoint.

        :param state: the request.
        :param now: local monotonic time in seconds.
        """
        statuses = [status for _, status in self._statuses(state, now)]
        is_refused = any(status.refuses(state.parts) for status in statuses)
        if not state.runs:
            return is_refused and not state.is_trial
        return is_refused or any(status.is_confined for status in statuses)

    def confine(
        self,
        state: State,
        candidates: list[dispatch.Candidate],
        now: float,
    ) -> list[dispatch.Candidate]:
        """Return the endpoints at which a request may be tried.

        :param state: the request.
        :param candidates: endpoints that could receive it.
        :param now: local monotonic time in seconds.
        """
        for part, status in self._statuses(state, now):
            if status.is_confined:
                return _first_trial(state, candidates, part, status)
        return candidates

    def record_crash(
        self, crash: crash_evidence.Crash, now: float
    ) -> list[poison.Notice]:
        """Record that an endpoint has ended under the parts it worked on.

        :param crash: the crash.
        :param now: local monotonic time in seconds.
        :returns: the notices on it.
        """
        latest: dict[str, poison.BrokenConnection] = {}
        companions: dict[str, set[str]] = collections.defaultdict(set)
        for broken in sorted(crash.broken, key=lambda b: b.sent_at):
            for part in broken.parts:
                latest[part] = broken
                companions[part].update(broken.parts)
        good = self._answered.parts(now)
        notices = [
            poison.Notice(
                poison.NoticeKind.CRASH,
                part,
                fleet.incarnation_name(crash.endpoint),
                broken.at,
                broken.in_flight,
                poison.Feature.PART,
                broken.at - broken.sent_at,
                part in good,
                frozenset(companions[part]),
            )
            for part, broken in latest.items()
        ]
        for notice in notices:
            self.notices.merge(notice, now)
            self.log_crash(notice, "this node", now)
        return notices

    def record_answered(self, state: State, now: float) -> list[poison.Notice]:
        """Record that an endpoint has answered a request completely.

        :param state: the request.
        :param now: local monotonic time in seconds.
        :returns: notices on the parts that are cleared by it.
        """
        self._answered.record(state.request.prompt_parts)
        sent_at = state.answered_sent_at
        if self.notices.are_empty or sent_at is None:
            return []
        cleared = [
            part
            for part in state.parts
            if any(
                crash.at <= sent_at
                for crash in self.notices.valid_crashes(part, now)
            )
        ]
        notices = [self.notices.clear(part, sent_at) for part in cleared]
        for notice in notices:
            self._log_cleared(notice, state.request.request_id, "this node")
        return notices

    def with_own_knowledge(
        self, notice: poison.Notice, now: float
    ) -> poison.Notice:
        """Return a received notice, with whether the part is known as good.

        :param notice: the notice.
        :param now: local monotonic time in seconds.
        """
        if notice.kind is not poison.NoticeKind.CRASH:
            return notice
        if notice.is_known_good:
            return notice
        return dataclasses.replace(
            notice,
            is_known_good=notice.fingerprint in self._answered.parts(now),
        )

    def evidence(self, now: float) -> dict[str, poison.Crashes]:
        """Return the quarantined parts, with the crashes that show why.

        :param now: local monotonic time in seconds.
        """
        return {
            part: self._suspicions.evidence(part, now)
            for part in self._suspicions.quarantined(now)
        }

    def counts(self, now: float) -> dict[str, int]:
        """Return the number of parts by their state, for metrics.

        :param now: local monotonic time in seconds.
        """
        return {
            "part_suspected": len(self.notices.suspected(now)),
            "part_quarantined": len(self._suspicions.quarantined(now)),
        }

    def log_received(
        self, notice: poison.Notice, reporter: str, now: float
    ) -> None:
        """Log what another node reports.

        :param notice: what it reports.
        :param reporter: name of the node.
        :param now: local monotonic time in seconds.
        """
        if notice.kind is poison.NoticeKind.CRASH:
            self.log_crash(notice, reporter, now)
        elif notice.kind is poison.NoticeKind.CLEARED:
            self._log_cleared(notice, "", reporter)

    def log_crash(
        self, notice: poison.Notice, reporter: str, now: float
    ) -> None:
        """Log that an endpoint ended under a part.

        :param notice: the notice on it.
        :param reporter: who has found it.
        :param now: local monotonic time in seconds.
        """
        status = self._suspicions.status(notice.fingerprint, now)
        _LOG.info(
            "%s ended under a part of a prompt",
            notice.replica,
            extra={
                "part": notice.fingerprint,
                "endpoint": notice.replica,
                "crashes": len(status.crashed),
                "rounds": status.rounds,
                "known_good": status.is_known_good,
                "quarantined": status.is_quarantined,
                "reporter": reporter,
            },
        )

    def _log_cleared(
        self, notice: poison.Notice, request_id: str, reporter: str
    ) -> None:
        _LOG.info(
            "suspected part of a prompt is cleared: a request was answered",
            extra={
                "part": notice.fingerprint,
                "request": request_id,
                "reporter": reporter,
            },
        )


def _first_trial(
    state: State,
    candidates: list[dispatch.Candidate],
    part: str,
    status: poison.PartStatus,
) -> list[dispatch.Candidate]:
    found = confinement.first_candidate(part, candidates, status.crashed)
    if found is None:
        return []
    name = confinement.name_of(found)
    _LOG.info(
        "request with a suspected part is held to %s",
        name,
        extra={
            "request": state.request.request_id,
            "part": part,
            "endpoint": name,
        },
    )
    return [found]
