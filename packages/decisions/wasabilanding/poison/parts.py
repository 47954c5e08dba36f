"""Parts of prompts that are suspected of ending endpoints.

Explanation
===========

Load pattern: requests that have nothing but a part of their prompts in common
end endpoint after endpoint; each is another request. Each crash suspects the
parts of all requests in flight there, most of which are sound, and so are the
other parts of the request that caused it. What tells them apart:

*Answers.* A request that is sent after a crash, and answered completely,
clears its parts of that crash. A part with many sound requests is cleared
again and again within the time that an answer takes.

*Rounds.* Many endpoints may crash at once. A crash counts as a round only if
a request with the part was sent there after the crash of the round before, so
a mass event is one round.

*Many at once.* Five crashes of a new part in two rounds are enough: its
requests may come through all nodes at the same moment, seconds apart.

*Known parts.* A part with which requests were answered before needs more
rounds than one that is new; it may have become bad only now.

*Explanations.* A part is not quarantined if one request, sent again and again,
was in flight at all of its crashes; nor if another one that is new was in
flight at all of them and at others. A known part is not quarantined for
crashes that a new one explains.

*Trials.* A part with which requests were answered before may be quarantined
wrongly, or its cause be mended. One request tries it again some time after the
last crash, and the next one after several times as long.

*Companions.* Which of several parts that always came together is the cause
cannot be told. Only requests with all of them are refused: one with some of
them has not crashed anything yet, and tells more.
"""

import collections.abc
import dataclasses

from wasabilanding.poison import suspicions as suspicions_module

FRESH_ROUNDS = 3
# After so many crashes, most of them at once, fewer rounds are enough.
MANY_CRASHES = 5
FRESH_ROUNDS_OF_MANY = 2
KNOWN_ROUNDS = 5
CONFINED_ROUNDS = 2
# Requests on their way at the first crash are answered within it, so that
# sound parts are cleared.
SETTLE_S = 2.0
# Least time between the last crash and a trial.
TRIAL_AFTER_S = 10.0
# Each time between trials is so many times as long as the one before.
TRIAL_BACKOFF = 4.0
NEVER = float("inf")

Crashes = collections.abc.Sequence[suspicions_module.Notice]


@dataclasses.dataclass(frozen=True)
class PartStatus:
    """Suspicion against a part of prompts.

    :param crashed: replicas that crashed while requests with it ran.
    :param rounds: crashes that followed on one another.
    :param is_known_good: whether requests with it were answered before.
    :param is_quarantined: whether requests with it are to be refused; the rest
        is set only then.
    :param until: local monotonic time in seconds at which that ends.
    :param companions: parts that requests with it always had, itself
        included; only requests with all of them are refused.
    :param trial_at: local monotonic time in seconds from which on one request
        may try it nevertheless; infinite for a new part with many rounds.
    """

    crashed: tuple[str, ...] = ()
    rounds: int = 0
    is_known_good: bool = False
    is_quarantined: bool = False
    until: float = 0.0
    companions: frozenset[str] = frozenset()
    trial_at: float = NEVER

    @property
    def is_confined(self) -> bool:
        """Whether requests with it try one replica at a time, and once."""
        return not self.is_known_good and self.rounds >= CONFINED_ROUNDS

    def refuses(self, parts: collections.abc.Iterable[str]) -> bool:
        """Return whether a request is refused because of the part.

        :param parts: the parts of its prompt.
        """
        return self.is_quarantined and self.companions.issubset(parts)


CLEAN = PartStatus()


def count_rounds(crashes: Crashes) -> int:
    """Return the number of crashes that followed on one another.

    :param crashes: crashes of one part, oldest first.

    Examples
    ========

    >>> from wasabilanding import poison
    >>> def crash(at, sent_before_s):
    ...     return poison.Notice(
    ...         poison.NoticeKind.CRASH, "a1", f"e{at}", at,
    ...         sent_before_s=sent_before_s)
    >>> poison.count_rounds([crash(1.0, 0.5), crash(1.1, 0.5)])
    1
    >>> poison.count_rounds([crash(1.0, 0.5), crash(1.6, 0.5)])
    2
    """
    return len(_first_of_rounds(crashes))


def _first_of_rounds(crashes: Crashes) -> list[suspicions_module.Notice]:
    found: list[suspicions_module.Notice] = []
    for crash in crashes:
        if not found or crash.at - crash.sent_before_s > found[-1].at:
            found.append(crash)
    return found


class PartSuspicions:
    """What is known of parts of prompts under which replicas crashed.

    :param requests: what is known of whole requests.
    """

    def __init__(self, requests: suspicions_module.Suspicions) -> None:
        self._requests = requests
        self.notices = suspicions_module.Suspicions(
            suspicions_module.Feature.PART
        )

    def status(self, part: str, now: float) -> PartStatus:
        """Return the suspicion against a part.

        :param part: the part.
        :param now: local monotonic time in seconds.
        """
        crashes = self.notices.valid_crashes(part, now)
        if not crashes:
            return CLEAN
        suspected = PartStatus(
            tuple(crash.replica for crash in crashes),
            count_rounds(crashes),
            _is_known_good(crashes),
        )
        if not self._is_quarantined(part, crashes, now):
            return suspected
        return dataclasses.replace(
            suspected,
            is_quarantined=True,
            until=crashes[-1].at + suspicions_module.NOTICE_RETENTION_S,
            companions=self._companions(part, crashes, now),
            trial_at=_trial_at(crashes),
        )

    def _companions(
        self, part: str, crashes: Crashes, now: float
    ) -> frozenset[str]:
        """Return the parts that came with a part at all of its crashes."""
        common = frozenset.intersection(*(c.companions for c in crashes))
        replicas = {crash.replica for crash in crashes}
        uncleared = {
            other
            for other in common
            if replicas <= self._replicas_crashed_under(other, now)
        }
        return frozenset((*uncleared, part))

    def _replicas_crashed_under(self, part: str, now: float) -> set[str]:
        return {
            crash.replica for crash in self.notices.valid_crashes(part, now)
        }

    def quarantined(self, now: float) -> tuple[str, ...]:
        """Return the parts whose requests are to be refused.

        :param now: local monotonic time in seconds.
        """
        return tuple(
            part
            for part in self.notices.fingerprints
            if self.status(part, now).is_quarantined
        )

    def evidence(self, part: str, now: float) -> Crashes:
        """Return the crashes that tell another node all that counts.

        :param part: the part.
        :param now: local monotonic time in seconds.
        """
        crashes = self.notices.valid_crashes(part, now)
        chosen = _first_of_rounds(crashes)[-MANY_CRASHES:]
        # Many crashes count with fewer rounds.
        others = [crash for crash in crashes if crash not in chosen]
        chosen += others[: MANY_CRASHES - len(chosen)]
        return sorted(chosen, key=lambda crash: crash.at)

    def _is_quarantined(self, part: str, crashes: Crashes, now: float) -> bool:
        if not _is_enough(crashes, now):
            return False
        if self._is_one_request(crashes):
            return False
        if _is_known_good(crashes):
            return _is_enough(self._unexplained(part, crashes, now), now)
        return not self._is_explained(part, crashes, now)

    def _unexplained(self, part: str, crashes: Crashes, now: float) -> Crashes:
        """Return the crashes of a known part that no new part explains."""
        in_flight = {
            crash.replica: self.notices.in_flight_at(crash.replica)
            for crash in crashes
        }
        others = frozenset().union(*in_flight.values()) - {part}
        causes = {
            other
            for other in others
            if self._is_new_and_quarantined(other, now)
        }
        return [c for c in crashes if not in_flight[c.replica] & causes]

    def _is_new_and_quarantined(self, part: str, now: float) -> bool:
        crashes = self.notices.valid_crashes(part, now)
        if not crashes or _is_known_good(crashes):
            return False
        return self._is_quarantined(part, crashes, now)

    def _is_one_request(self, crashes: Crashes) -> bool:
        """Return whether one request was in flight at all crashes."""
        common = None
        for crash in crashes:
            requests = self._requests.in_flight_at(crash.replica)
            common = requests if common is None else common & requests
        return bool(common)

    def _is_explained(self, part: str, crashes: Crashes, now: float) -> bool:
        """Return whether another new part explains all crashes and more."""
        replicas = {crash.replica for crash in crashes}
        for other in self.notices.in_flight_at(crashes[0].replica) - {part}:
            others = self.notices.valid_crashes(other, now)
            if _is_known_good(others) or not _is_enough(others, now):
                continue
            if replicas < {crash.replica for crash in others}:
                return True
        return False


def _trial_at(crashes: Crashes) -> float:
    is_certain = count_rounds(crashes) >= FRESH_ROUNDS
    if is_certain and not _is_known_good(crashes):
        return NEVER
    last = crashes[-1].at
    before = crashes[-2].at if len(crashes) > 1 else last
    return last + max(TRIAL_AFTER_S, TRIAL_BACKOFF * (last - before))


def _is_known_good(crashes: Crashes) -> bool:
    return any(crash.is_known_good for crash in crashes)


def _is_enough(crashes: Crashes, now: float) -> bool:
    if not crashes or now - crashes[0].at < SETTLE_S:
        return False
    return count_rounds(crashes) >= _needed_rounds(crashes)


def _needed_rounds(crashes: Crashes) -> int:
    if _is_known_good(crashes):
        return KNOWN_ROUNDS
    if len(crashes) >= MANY_CRASHES:
        return FRESH_ROUNDS_OF_MANY
    return FRESH_ROUNDS
