"""Messages between nodes about evacuated failure domains."""

import dataclasses

from wasabilanding import dispatch
from wasabilanding import model


@dataclasses.dataclass(frozen=True)
class EvacuationNotice:
    """Whether a failure domain is evacuated, as a node knows it.

    :param failure_domain: name of the failure domain.
    :param is_evacuated: whether it is evacuated.
    :param era: era of the store as of which that is known.
    :param revision: revision within the era.
    :param age_s: seconds since the first node saw that it began or ended.
    """

    failure_domain: str
    is_evacuated: bool
    era: model.Count
    revision: model.Count
    age_s: model.Quantity

    @property
    def store_revision(self) -> model.StoreRevision:
        """Revision of the store as of which it is known."""
        return model.StoreRevision(model.Era(self.era), self.revision)

    def statement(self, now: float) -> dispatch.EvacuationStatement:
        """Return what it says.

        :param now: local monotonic time in seconds.
        """
        return dispatch.EvacuationStatement(
            self.is_evacuated, self.store_revision, now - self.age_s
        )


def notice_of(
    failure_domain: str,
    statement: dispatch.EvacuationStatement,
    now: float,
) -> EvacuationNotice:
    """Return the message about a failure domain.

    :param failure_domain: its name.
    :param statement: what is known of it.
    :param now: local monotonic time in seconds.
    """
    age_s = round(max(now - statement.seen_at, 0.0), 3)
    revision = statement.revision
    return EvacuationNotice(
        failure_domain,
        statement.is_evacuated,
        revision.era,
        revision.number,
        age_s,
    )
