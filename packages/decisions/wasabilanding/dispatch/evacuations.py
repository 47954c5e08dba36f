"""Failure domains that the operators have evacuated.

Explanation
===========

An operator evacuates a failure domain by a key in the platform's store, and
takes the evacuation back by its removal. A node learns of both from the store
and from other nodes, late, repeatedly and in any order. So each statement
says as of which revision of the store a failure domain is evacuated or not,
and of two statements the one of the higher revision counts, as in a register
whose last writer wins [1]_.

A listing of the store is a statement about all failure domains at once. An
older statement that arrives later has no effect; if it differs, the newer one
is due to be told again, so that the node that still has the older one learns
of it.

A restore of the store from an older copy may lose a key. The failure domain
then stays evacuated for a while, so that the operator can write the key again
before requests return.

References
==========

.. [1] M. Shapiro, N. Preguiça, C. Baquero, M. Zawirski, "Conflict-free
       replicated data types", SSS 2011.
"""

import collections.abc
import dataclasses

from wasabilanding.dispatch import choice
from wasabilanding import model

# Time for which the end of an evacuation is repeated to other nodes: several
# times the longest interval between two hints on any path.
END_TOLD_S = 10.0
# Ended evacuations that are remembered; the oldest are dropped.
MAX_ENDED = 256
NEVER = float("-inf")


@dataclasses.dataclass(frozen=True)
class EvacuationStatement:
    """Whether a failure domain is evacuated, as of a revision of the store.

    :param is_evacuated: whether it is.
    :param revision: revision as of which that is known.
    :param seen_at: local monotonic time in seconds at which the first node
        saw that it began or ended.
    """

    is_evacuated: bool
    revision: model.StoreRevision
    seen_at: float


class Evacuations:
    """Known evacuations by failure domain.

    ``version`` changes with the set of evacuated failure domains.
    """

    def __init__(self) -> None:
        self._known: dict[str, EvacuationStatement] = {}
        self._listed = model.StoreRevision()
        # Local monotonic times in seconds until which ends are told, and at
        # which evacuations end whose keys a restore has lost.
        self._told_until: dict[str, float] = {}
        self._lost_until: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.version = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        return self._evacuated

    def get(self, failure_domain: str) -> EvacuationStatement | None:
        """Return what is known of a failure domain; None for nothing.

        :param failure_domain: its name.
        """
        return self._known.get(failure_domain)

    def note(
        self,
        failure_domain: str,
        statement: EvacuationStatement,
        now: float,
    ) -> bool:
        """Record a statement unless a newer one is known.

        :param failure_domain: name of the failure domain.
        :param statement: the statement.
        :param now: local monotonic time in seconds.
        :returns: whether the failure domain is evacuated now and was not, or
            the reverse.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> from wasabilanding import model
        >>> def statement(is_evacuated, number):
        ...     revision = model.StoreRevision(1, number)
        ...     return dispatch.EvacuationStatement(is_evacuated, revision, 0)
        >>> known = dispatch.Evacuations()
        >>> known.note("z1", statement(True, 7), now=0.0)
        True
        >>> known.note("z1", statement(False, 9), now=0.1)
        True
        >>> known.note("z1", statement(True, 8), now=0.2)
        False
        >>> sorted(known.evacuated)
        []
        """
        before = self._known.get(failure_domain)
        if before is None and statement.revision <= self._listed:
            # The listing had no key.
            before = EvacuationStatement(False, self._listed, now)
        if before is not None and statement.revision <= before.revision:
            if statement.is_evacuated != before.is_evacuated:
                self._tell_again(failure_domain, statement, before, now)
            return False
        was_evacuated = before is not None and before.is_evacuated
        if was_evacuated is statement.is_evacuated and before is not None:
            statement = dataclasses.replace(statement, seen_at=before.seen_at)
        self._lost_until.pop(failure_domain, None)
        self._set(failure_domain, statement)
        if was_evacuated is statement.is_evacuated:
            return False
        if not statement.is_evacuated:
            self._told_until[failure_domain] = now + END_TOLD_S
        self._refresh()
        return True

    def _tell_again(
        self,
        failure_domain: str,
        old: EvacuationStatement,
        known: EvacuationStatement,
        now: float,
    ) -> None:
        """Repeat the end of an evacuation to nodes that do not know of it.

        An end is not told to an older era of the store: the evacuation may
        have been lost by a restore.
        """
        if known.is_evacuated or old.revision.era != known.revision.era:
            return
        self._set(failure_domain, known)
        self._told_until[failure_domain] = now + END_TOLD_S

    def _set(
        self, failure_domain: str, statement: EvacuationStatement
    ) -> None:
        # The latest is last.
        self._known.pop(failure_domain, None)
        self._known[failure_domain] = statement
        ended = [n for n, s in self._known.items() if not s.is_evacuated]
        for name in ended[: max(len(ended) - MAX_ENDED, 0)]:
            del self._known[name]
            self._told_until.pop(name, None)

    def _refresh(self) -> None:
        self._evacuated = frozenset(
            name for name, s in self._known.items() if s.is_evacuated
        )
        self.version += 1

    def replace(
        self,
        listed: collections.abc.Mapping[str, model.StoreRevision],
        revision: model.StoreRevision,
        now: float,
        lost_ttl_s: float = 0.0,
    ) -> None:
        """Record a listing of the store.

        A failure domain that is not in it is not evacuated, unless a newer
        statement says so.

        :param listed: evacuated failure domains with the revisions of their
            keys, which may be later than the listing.
        :param revision: revision of the listing.
        :param now: local monotonic time in seconds.
        :param lost_ttl_s: if the store was restored from a copy, seconds for
            which failure domains stay evacuated whose keys the copy lacks.
        """
        absent = self._evacuated - listed.keys()
        if lost_ttl_s:
            for name in absent:
                self._lost_until.setdefault(name, now + lost_ttl_s)
        for name in absent - self._lost_until.keys():
            self.note(name, EvacuationStatement(False, revision, now), now)
        for name, written in listed.items():
            as_of = max(written, revision)
            self.note(name, EvacuationStatement(True, as_of, now), now)
        self._listed = max(self._listed, revision)

    def expire(self, now: float) -> None:
        """End the evacuations that a restore has lost some time ago.

        :param now: local monotonic time in seconds.
        """
        for name, until in list(self._lost_until.items()):
            if now >= until:
                ended = EvacuationStatement(False, self._listed, now)
                self.note(name, ended, now)

    def due(
        self, now: float
    ) -> collections.abc.Mapping[str, EvacuationStatement]:
        """Return what other nodes are to be told.

        Evacuations are told as long as they last, unless a restore of the
        store has lost them, and their ends for a while.

        :param now: local monotonic time in seconds.
        """
        for name, until in list(self._told_until.items()):
            if now >= until:
                del self._told_until[name]
        told = (self._evacuated - self._lost_until.keys()).union(
            self._told_until
        )
        return {name: self._known[name] for name in sorted(told)}


CandidatesByModel = collections.abc.Mapping[str, list[choice.Candidate]]


def split_evacuated(
    candidates: CandidatesByModel,
    evacuated: collections.abc.Container[str],
) -> tuple[CandidatesByModel, CandidatesByModel]:
    """Return the candidates that may receive requests, and the others.

    :param candidates: candidates by model.
    :param evacuated: names of the evacuated failure domains.
    """
    usable: dict[str, list[choice.Candidate]] = {}
    excluded: dict[str, list[choice.Candidate]] = {}
    for model_name, found in candidates.items():
        for candidate in found:
            is_excluded = candidate.endpoint.failure_domain in evacuated
            group = excluded if is_excluded else usable
            group.setdefault(model_name, []).append(candidate)
    return usable, excluded
