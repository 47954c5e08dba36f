"""Changes of the store, cut into segments of consecutive revisions."""

import collections
import collections.abc
import dataclasses
import typing

import pydantic

from wasabilanding import fleet
from wasabilanding import model

# A segment with more changes is not sent; its receivers read the store.
MAX_CHANGES = 300
# Each segment repeats the previous one, in case its datagram was lost.
REPEATED_SEGMENTS = 1

# What segments of this build hold: 0 is endpoints and internal items, 1 also
# evacuations and the times for which endpoints stay cold.
CONTENT = 1

Era = typing.Annotated[model.Era, pydantic.Field(ge=0)]
Revision = typing.Annotated[int, pydantic.Field(ge=0)]
Seconds = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True)
class Segment:
    """All changes between two revisions of one era of the store.

    A receiver may apply it if it knows the state at any revision between the
    two. Each key is listed once, with its state at the second revision.

    :param after: revision after which the changes begin.
    :param until: revision of the last change.
    :param age_s: seconds since the sender's view was known to be current.
    :param endpoints: endpoints added or changed.
    :param removed_endpoints: identities of the endpoints removed.
    :param items: values of the internal items added or changed, by key.
    :param removed_items: keys of the internal items removed.
    :param era: era of the store.
    :param content: see :data:`CONTENT`; 0 is also that of builds that do not
        say it.
    """

    after: Revision
    until: Revision
    age_s: Seconds
    endpoints: tuple[fleet.Endpoint, ...] = ()
    removed_endpoints: tuple[str, ...] = ()
    items: dict[str, str] = dataclasses.field(default_factory=dict)
    removed_items: tuple[str, ...] = ()
    era: Era = model.NO_ERA
    content: model.Count = 0

    @property
    def store_revision(self) -> model.StoreRevision:
        """Revision of the last change, with its era."""
        return model.StoreRevision(self.era, self.until)

    @property
    def has_changes(self) -> bool:
        """Whether it states any change but that of the revision."""
        return bool(
            self.endpoints
            or self.removed_endpoints
            or self.items
            or self.removed_items
        )

    def covers(self, revision: model.StoreRevision) -> bool:
        """Tell whether a view at a revision misses no earlier change.

        It misses some if the sender's build does not know all kinds of items
        that this one knows.

        :param revision: revision of the view.
        """
        if self.content < CONTENT:
            return False
        return self.era == revision.era and self.after <= revision.number


@dataclasses.dataclass(frozen=True)
class _Change:
    """State of a key after its last change; None if it was removed."""

    revision: model.StoreRevision
    state: fleet.Endpoint | str | None


class ChangeLog:
    """Recent changes of the store, as one node has seen them.

    A registration that is written again unchanged, as by a heartbeat, is no
    change, unless the time for which its endpoint stays cold differs. The
    changes of an older era are forgotten with the first listing of a newer
    one.
    """

    def __init__(self) -> None:
        self._begins_at = model.StoreRevision()
        self._until = model.StoreRevision()
        self._endpoints: dict[str, _Change] = {}
        self._items: dict[str, _Change] = {}
        self._known: dict[str, fleet.Endpoint] = {}
        self._cuts: collections.deque[model.StoreRevision] = collections.deque(
            maxlen=REPEATED_SEGMENTS + 1
        )

    def replace(
        self,
        endpoints: collections.abc.Iterable[fleet.Endpoint],
        revision: model.StoreRevision,
    ) -> None:
        """Start anew from a listing of the store.

        :param endpoints: all registered endpoints.
        :param revision: revision of the listing.
        """
        self._known = {e.endpoint_id: e for e in endpoints}
        self.reset(revision)

    def reset(self, revision: model.StoreRevision) -> None:
        """Forget the changes up to a revision.

        :param revision: revision from which all changes will be recorded.
        """
        self._begins_at = max(self._begins_at, revision)
        self._endpoints.clear()
        self._items.clear()
        self.advance(revision)

    def advance(self, revision: model.StoreRevision) -> None:
        """Record that all changes up to a revision are known.

        :param revision: the revision.
        """
        self._until = max(self._until, revision)
        if len(self._endpoints) + len(self._items) > MAX_CHANGES:
            self.reset(self._until)

    def record_endpoint(
        self,
        endpoint_id: str,
        state: fleet.Endpoint | None,
        revision: model.StoreRevision,
    ) -> None:
        """Record a registration.

        :param endpoint_id: identity of the endpoint.
        :param state: its registration; None if it was removed.
        :param revision: revision of the change.
        """
        if state is None:
            self._known.pop(endpoint_id, None)
        elif _is_same(self._known.get(endpoint_id), state):
            return
        else:
            self._known[endpoint_id] = state
        self._endpoints[endpoint_id] = _Change(revision, state)

    def record_item(
        self, key: str, value: str | None, revision: model.StoreRevision
    ) -> None:
        """Record an internal item.

        :param key: its key.
        :param value: its value; None if it was removed.
        :param revision: revision of the change.
        """
        self._items[key] = _Change(revision, value)

    def cut(self, age_s: float) -> Segment:
        """Return the changes since the segment before the last one.

        :param age_s: seconds since the view was known to be current.
        """
        after = self._begins_at
        if len(self._cuts) == self._cuts.maxlen:
            after = max(after, self._cuts[0])
        self._cuts.append(self._until)
        self._endpoints = _changes_after(self._endpoints, after)
        self._items = _changes_after(self._items, after)
        return Segment(
            era=self._until.era,
            after=after.number,
            until=self._until.number,
            age_s=age_s,
            endpoints=tuple(
                c.state
                for c in self._endpoints.values()
                if c.state is not None
            ),
            removed_endpoints=_removed(self._endpoints),
            items={
                key: c.state
                for key, c in self._items.items()
                if c.state is not None
            },
            removed_items=_removed(self._items),
            content=CONTENT,
        )


def _is_same(before: fleet.Endpoint | None, state: fleet.Endpoint) -> bool:
    return before == state and before.cold_left_s == state.cold_left_s


def _changes_after(
    changes: dict[str, _Change], revision: model.StoreRevision
) -> dict[str, _Change]:
    """Return the later changes of the same era."""
    era, number = revision.era, revision.number
    return {
        key: change
        for key, change in changes.items()
        if change.revision.number > number and change.revision.era == era
    }


def _removed(changes: dict[str, _Change]) -> tuple[str, ...]:
    return tuple(k for k, c in changes.items() if c.state is None)
