"""Records of quarantines in the store, which outlive all nodes.

Explanation
===========

What a node knows of requests that end endpoints is gone with it, and all nodes
may be replaced within minutes. Which records are to be written, and by which
node, is decided in :func:`wasabilanding.poison.record_changes`; here they are
read and written.

A record is read with the rest of the store, before the first request of a node
that starts. It states ages at a time of day, as it outlives monotonic clocks:
a clock that is ahead lets its node forget a quarantine early, one that is
behind lets it keep it for at most as long as a new one. Each record has a
lease that ends with the quarantine, and is written only if no other node has
written it. A store that does not answer delays records and nothing else.
"""

import collections.abc
import dataclasses
import logging
import time
import typing

import trio

from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_exchange
from wasabilanding.gateway import crash_guard as crash_guard_module
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import internal_documents
from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import poison

# Interval of the comparison with the records while anything is suspected.
CHECK_INTERVAL_S = 1.0
# Least time between two comparisons; a mass event tells of many crashes.
MIN_INTERVAL_S = 0.1
# Records written at once; those of a mass event would exceed a datagram by
# which a node tells others of changes.
MAX_BATCH = 8
BATCH_INTERVAL_S = 0.5

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class QuarantineRecord:
    """A quarantine, as it is stored.

    :param recorded_at_s: time of day of the writer in seconds since 1970, at
        which the reports have the ages that they state.
    :param reports: crashes that show why it holds, oldest first.
    """

    recorded_at_s: float
    reports: tuple[crash_reports.CrashReport, ...]


def records_prefix(wire: messages.WireFormat) -> str:
    """Return the key prefix of the records.

    :param wire: defines the store's key prefixes.
    """
    return f"{wire.internal_prefix}quarantines/"


def record_key(prefix: str, subject: poison.Subject) -> str:
    """Return the key of a record; parts of prompts are arbitrary texts.

    :param prefix: key prefix of the records.
    :param subject: what is quarantined.
    """
    digest = poison.exact_fingerprint([subject.fingerprint.encode()])
    return f"{prefix}{subject.feature.value}-{digest}"


def crashes_of(
    record: QuarantineRecord, time_of_day: float, now: float
) -> list[poison.Notice]:
    """Return the crashes of a record, on the local clock.

    :param record: the record.
    :param time_of_day: present time of day in seconds since 1970.
    :param now: local monotonic time in seconds.
    """
    age_s = max(time_of_day - record.recorded_at_s, 0.0)
    notices = [
        crash_reports.notice_of(report, now - age_s)
        for report in record.reports
    ]
    return [n for n in notices if n.kind is poison.NoticeKind.CRASH]


class QuarantineRecords:
    """The records of quarantines, and this node's part in keeping them.

    :param store: the platform's store.
    :param prefix: key prefix of the records.
    :param view: the node's view of the cluster.
    :param crash_guard: what the node knows of requests that end endpoints.
    :param rank: returns the place of this node in the order of all nodes for
        a fingerprint, 0 first.
    :param time_of_day: returns the time of day in seconds since 1970.
    """

    def __init__(
        self,
        store: messages.Store,
        prefix: str,
        view: cluster_view_module.ClusterView,
        crash_guard: crash_guard_module.CrashGuard,
        rank: collections.abc.Callable[[str], int],
        time_of_day: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._view = view
        self._crash_guard = crash_guard
        self._rank = rank
        self._time_of_day = time_of_day
        self._schedule = poison.RecordSchedule()
        # Subjects of which this node has found out something itself.
        self._found: set[poison.Subject] = set()
        self._has_news = trio.Event()

    def note_news(
        self, findings: collections.abc.Iterable[poison.Notice]
    ) -> None:
        """Compare the records soon with what this node knows.

        :param findings: what it has found out itself.
        """
        self._found.update(map(poison.subject_of, findings))
        self._has_news.set()

    def read(self, item: metadata.Item) -> None:
        """Learn from an internal item that a view has received.

        :param item: the item, of any kind.
        """
        now = trio.current_time()
        for record in self._decoded({item.key: item}):
            crashes = crashes_of(record, self._time_of_day(), now)
            self._crash_guard.learn(crashes, now)

    def _decoded(
        self, items: collections.abc.Mapping[str, metadata.Item]
    ) -> list[QuarantineRecord]:
        return internal_documents.documents(
            items, self._prefix, QuarantineRecord
        )

    def _recorded(
        self, now: float
    ) -> dict[poison.Subject, list[poison.Notice]]:
        """Return the crashes of the records that the store has."""
        time_of_day = self._time_of_day()
        items = {
            key: item
            for key, item in self._view.internal_items.items()
            if key.startswith(self._prefix) and not self._view.is_lost(key)
        }
        recorded = {}
        for record in self._decoded(items):
            crashes = crashes_of(record, time_of_day, now)
            if crashes:
                recorded[poison.subject_of(crashes[0])] = crashes
        return recorded

    async def run(self) -> typing.NoReturn:
        """Keep the records; never returns."""
        while True:
            await self._wait_due()
            self._has_news = trio.Event()
            await self._compare()
            await trio.sleep(MIN_INTERVAL_S)

    async def _wait_due(self) -> None:
        """Wait for news, or for some time while anything is suspected."""
        if self._crash_guard.is_empty:
            self._found.clear()
            await self._has_news.wait()
            return
        with trio.move_on_after(CHECK_INTERVAL_S):
            await self._has_news.wait()

    async def _compare(self) -> None:
        """Change the records that differ from what this node knows."""
        now = trio.current_time()
        changes = poison.record_changes(
            self._crash_guard.quarantines(now),
            self._recorded(now),
            lambda crash: self._crash_guard.is_refuted(crash, now),
            now,
        )
        due = self._schedule.due(changes, self._delay_s, now)
        for number, change in enumerate(due, 1):
            await self._apply(change)
            if number % MAX_BATCH == 0:
                await trio.sleep(BATCH_INTERVAL_S)

    def _delay_s(self, subject: poison.Subject) -> float:
        return poison.record_delay_s(
            subject in self._found, self._rank(subject.fingerprint)
        )

    async def _apply(self, change: poison.RecordChange) -> None:
        key = record_key(self._prefix, change.subject)
        if change.action is poison.RecordAction.CREATE:
            result = await self._write(key, None, change.crashes)
        else:
            result = await self._change(key, change)
        fields = {
            "key": key,
            "feature": change.subject.feature.value,
            "fingerprint": change.subject.fingerprint,
            "crashes": len(change.crashes),
            "result": type(result).__name__,
        }
        _LOG.info(
            "%s record of a quarantine", change.action.value, extra=fields
        )

    async def _change(
        self, key: str, change: poison.RecordChange
    ) -> metadata.WriteResult:
        """Replace or remove the record that this node knows.

        The view has no exact revisions of items that other nodes have sent.
        """
        listing = await self._store.read_all(key)
        if isinstance(listing, metadata.Unavailable):
            return listing
        known = self._view.internal_items.get(key)
        for item in listing.items:
            if known is None or (item.key, item.value) != (key, known.value):
                continue
            if change.action is poison.RecordAction.REMOVE:
                return await self._store.remove(key, item.revision)
            return await self._write(key, item.revision, change.crashes)
        return metadata.Conflict(0)

    async def _write(
        self, key: str, revision: int | None, crashes: poison.Crashes
    ) -> metadata.WriteResult:
        """Write a record, unless another node has changed it.

        :param key: its key.
        :param revision: revision that it has; None if there is none.
        :param crashes: the crashes.
        """
        now = trio.current_time()
        ends_at = crashes[-1].at + poison.NOTICE_RETENTION_S
        lease = await self._store.grant_lease(ends_at - now)
        if not isinstance(lease, metadata.Lease):
            return lease
        reports = crash_exchange.reports(crashes, now)
        record = QuarantineRecord(self._time_of_day(), reports)
        value = internal_documents.encode(record)
        if revision is None:
            written = await self._store.create(key, value, lease)
        else:
            written = await self._store.replace(key, value, revision, lease)
        if isinstance(written, metadata.Conflict):
            await self._store.end_lease(lease)
        return written
