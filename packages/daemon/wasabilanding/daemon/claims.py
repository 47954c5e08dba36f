"""Claims that keep non-idempotent requests from running twice."""

import collections.abc
import contextlib
import dataclasses
import logging

import trio

from wasabilanding import callers
from wasabilanding import claims
from wasabilanding.daemon import claim_store
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import telemetry
from wasabilanding import metadata
from wasabilanding import model

CLAIM_TIMEOUT_S = 1.0
CLAIM_RETRY_AFTER_S = 2.0
MAX_CAS_ATTEMPTS = 4
MAX_ANSWER_BYTES = 1_000_000
MAX_PENDING_CONCLUSIONS = 10_000
SETTLE_WORKERS = 4
SETTLE_RETRY_DELAY_S = 1.0
SETTLE_SHUTDOWN_TIMEOUT_S = 5.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ClaimSubject:
    """Identity of the request that a claim covers.

    :param customer: customer of the caller.
    :param idempotency_key: idempotency key given by the caller.
    :param fingerprint: fingerprint of the body.
    """

    customer: str
    idempotency_key: str
    fingerprint: str

    @property
    def key(self) -> str:
        """Key of the claim in the store."""
        return claim_store.claim_key(self.customer, self.idempotency_key)


class ClaimedRequest:
    """Request with its claim, and the answer collected for replays.

    :param claim: the claim, or None when none is held.
    :param stored_answer: answer of an earlier request with the same key, or
        None when the request has to be run.
    """

    def __init__(
        self,
        claim: claims.Claim | None = None,
        stored_answer: list[bytes] | None = None,
    ) -> None:
        self.claim = claim
        self.stored_answer = stored_answer
        self._collected: list[bytes] | None = []
        self._size = 0

    @property
    def answer(self) -> list[bytes] | None:
        """Answer collected so far, or None when it is too large to store."""
        return self._collected

    def collect(self, batch: collections.abc.Iterable[bytes]) -> None:
        """Collect payloads of the answer for replays.

        :param batch: payloads as passed to the caller.
        """
        if self.claim is None or self._collected is None:
            return
        payloads = list(batch)
        self._collected.extend(payloads)
        self._size += sum(len(payload) for payload in payloads)
        if self._size > MAX_ANSWER_BYTES:
            self._collected = None


@dataclasses.dataclass(frozen=True)
class _Conclusion:
    key: str
    claim: claims.Claim
    outcome: model.Outcome
    answer: list[bytes] | None = None


def subject_of(request: callers.CallerRequest) -> ClaimSubject | None:
    """Return the claim subject of a request, or None when it needs no claim.

    Repeats of a non-idempotent request without a key can't be recognized; it
    is not retried after it may have run.

    :param request: the request.
    """
    if request.idempotent or not request.idempotency_key:
        return None
    return ClaimSubject(
        request.customer,
        request.idempotency_key,
        claims.fingerprint(request.body),
    )


def _unavailable(detail: str) -> callers.RequestFailed:
    return callers.RequestFailed(
        model.not_run(
            model.Reason.CLAIM_UNAVAILABLE,
            f"the claim could not be acquired: {detail}",
            CLAIM_RETRY_AFTER_S,
        )
    )


class ClaimManager:
    """Acquires claims and stores the outcome of each claimed request.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._store = claim_store.ClaimStore(context.platform)
        self._send_conclusion, self._receive_conclusion = (
            trio.open_memory_channel[_Conclusion](MAX_PENDING_CONCLUSIONS)
        )
        self._pending_count = 0
        self._refuse_until = float("-inf")
        self._budget = claims.ClaimBudget()

    @property
    def pending_count(self) -> int:
        """Number of ended requests whose outcome is not stored yet."""
        return self._pending_count

    @contextlib.asynccontextmanager
    async def claimed(
        self,
        subject: ClaimSubject | None,
        deadline: float,
        span: telemetry.Span | None = None,
    ) -> collections.abc.AsyncIterator[ClaimedRequest]:
        """Hold the claim of a request while the block runs it.

        :param subject: what to claim, or None for no claim.
        :param deadline: local monotonic time of the deadline in seconds.
        :param span: span of the request.
        :raises wasabilanding.callers.RequestFailed: when the claim is not
            acquired; nothing was run in that case.
        """
        if subject is None:
            yield ClaimedRequest()
            return
        claim_span = self._context.telemetry.start_span("claim", parent=span)
        with telemetry.ending_span(claim_span):
            claimed_request = await self._acquire(subject, deadline)
        if claimed_request.claim is None:
            yield claimed_request
            return
        outcome = model.may_have_run(
            model.Reason.CANCELLED, "the caller of this key disconnected"
        )
        try:
            yield claimed_request
            outcome = model.completed()
        except callers.RequestFailed as error:
            outcome = error.outcome
            raise
        finally:
            conclusion = _Conclusion(
                subject.key,
                claimed_request.claim,
                outcome,
                claimed_request.answer,
            )
            await self._finish(conclusion)

    async def _acquire(
        self, subject: ClaimSubject, deadline: float
    ) -> ClaimedRequest:
        context = self._context
        if context.now() < self._refuse_until:
            raise _unavailable("the platform's store is unavailable")
        nodes = len(context.members.live(context.now()))
        if not self._budget.spend(context.now(), nodes):
            raise _unavailable("the rate limit of claims is reached")
        new_claim = claims.begin(
            context.new_id(),
            context.settings.node,
            context.members.own.incarnation,
            subject.fingerprint,
        )
        decision = await self._take_within_timeout(
            subject, new_claim, deadline
        )
        if isinstance(decision, str):
            raise self._abandon(subject, new_claim, decision)
        if isinstance(decision, claims.Refuse):
            context.telemetry.count_claim("refused")
            raise callers.RequestFailed(decision.outcome)
        if isinstance(decision, claims.Replay):
            context.telemetry.count_claim("replayed")
            return ClaimedRequest(
                stored_answer=await self._read_answer(decision.token)
            )
        if context.now() >= deadline:
            raise self._abandon(subject, new_claim, "the deadline has passed")
        context.telemetry.count_claim("taken")
        return ClaimedRequest(new_claim)

    async def _take_within_timeout(
        self, subject: ClaimSubject, new_claim: claims.Claim, deadline: float
    ) -> claims.Decision | str:
        decision: claims.Decision | str = "the store did not answer in time"
        give_up_at = self._context.now() + CLAIM_TIMEOUT_S
        try:
            with trio.move_on_at(min(give_up_at, deadline)) as scope:
                decision = await self._take(subject.key, new_claim)
        except trio.Cancelled:
            self._abandon(subject, new_claim, "the caller disconnected")
            raise
        if scope.cancelled_caught and give_up_at <= deadline:
            # A time-out caused by the request's own deadline does not show
            # that the store is unavailable.
            self._refuse_until = self._context.now() + CLAIM_TIMEOUT_S
        return decision

    def _abandon(
        self, subject: ClaimSubject, new_claim: claims.Claim, detail: str
    ) -> callers.RequestFailed:
        # The write may have taken effect or may still do so, so the claim has
        # to be released.
        failure = _unavailable(detail)
        self._enqueue(_Conclusion(subject.key, new_claim, failure.outcome))
        self._context.telemetry.count_claim("unavailable")
        return failure

    async def _take(
        self, key: str, new_claim: claims.Claim
    ) -> claims.Decision | str:
        stored = claim_store.StoredClaim(None, 0)
        detail = "concurrent requests with this key won the race"
        for _ in range(MAX_CAS_ATTEMPTS):
            result = await self._store.write(key, new_claim, stored.revision)
            if isinstance(result, metadata.Written):
                return claims.AlreadyHeld()
            if isinstance(result, metadata.Unavailable):
                self._refuse_until = self._context.now() + CLAIM_TIMEOUT_S
                return result.detail
            found = await self._store.read(key)
            if isinstance(found, metadata.Unavailable):
                self._refuse_until = self._context.now() + CLAIM_TIMEOUT_S
                return found.detail
            stored = found
            if stored.claim is None:
                continue
            decision = claims.decide(
                stored.claim, new_claim, self._is_live(stored.claim)
            )
            if not isinstance(decision, claims.Take):
                return decision
        return detail

    def _is_live(self, claim: claims.Claim) -> bool:
        members = self._context.members
        return any(
            (node.name, node.incarnation) == (claim.node, claim.incarnation)
            for node in (members.own, *members.live(self._context.now()))
        )

    async def _read_answer(self, token: str) -> list[bytes]:
        found = await self._store.answer(token)
        if isinstance(found, list):
            return found
        outcome = claims.answer_not_kept()
        if isinstance(found, metadata.Unavailable):
            outcome = dataclasses.replace(
                outcome,
                detail="the request with this key has completed; its answer "
                f"can't be read now: {found.detail}",
                retry_after_s=CLAIM_RETRY_AFTER_S,
            )
        raise callers.RequestFailed(outcome)

    async def _finish(self, conclusion: _Conclusion) -> None:
        settled = False
        try:
            if conclusion.outcome.verdict is model.Verdict.NOT_RUN:
                # The claim is released before the caller is answered, because
                # the caller may retry at once.
                with trio.move_on_after(CLAIM_TIMEOUT_S):
                    settled = await self._settle(conclusion)
        finally:
            if not settled:
                self._enqueue(conclusion)

    def _enqueue(self, conclusion: _Conclusion) -> None:
        try:
            self._send_conclusion.send_nowait(conclusion)
        except trio.WouldBlock:
            # The claim stays open, so no repeat of the request is run.
            _LOG.error(
                "outcome of a claim dropped: %d are already queued",
                MAX_PENDING_CONCLUSIONS,
            )
            return
        self._pending_count += 1

    async def _settle(self, conclusion: _Conclusion) -> bool:
        is_answer_stored = False
        completed = conclusion.outcome.verdict is model.Verdict.COMPLETED
        if completed and conclusion.answer is not None:
            token = conclusion.claim.token
            is_answer_stored = await self._store.store_answer(
                token, conclusion.answer
            )
        final = claims.conclude(
            conclusion.claim, conclusion.outcome, is_answer_stored
        )
        for _ in range(MAX_CAS_ATTEMPTS):
            stored = await self._store.read(conclusion.key)
            if isinstance(stored, metadata.Unavailable):
                return False
            step = claims.settle(stored.claim, final)
            if isinstance(step, claims.NothingToWrite):
                return True
            result = await self._store.write(
                conclusion.key, final, stored.revision
            )
            if isinstance(result, metadata.Written):
                return True
            if isinstance(result, metadata.Unavailable):
                return False
        return False

    async def run(self) -> None:
        """Store the outcomes of claimed requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SETTLE_WORKERS):
                nursery.start_soon(self._settle_queued)

    async def _settle_queued(self) -> None:
        async for conclusion in self._receive_conclusion:
            while not await self._settle(conclusion):
                pause_s = SETTLE_RETRY_DELAY_S * (
                    1 + self._context.rng.random()
                )
                await trio.sleep(pause_s)
            self._pending_count -= 1

    async def wait_until_settled(self) -> None:
        """Wait, up to a time-out, until all outcomes are stored."""
        with trio.move_on_after(SETTLE_SHUTDOWN_TIMEOUT_S):
            while self._pending_count:
                await trio.sleep(0.05)
