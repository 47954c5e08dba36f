"""Newest era of the store that a node has learned of."""

from wasabilanding import model


class EraTracker:
    """Newest era of the store that a node has learned of."""

    def __init__(self) -> None:
        self._latest = model.NO_ERA

    @property
    def latest(self) -> model.Era:
        """The newest era."""
        return self._latest

    def note(self, era: model.Era) -> bool:
        """Record an era; return whether it is newer than all before.

        :param era: era of an answer, or one that another node has told.

        Examples
        ========

        >>> from wasabilanding import metadata
        >>> tracker = metadata.EraTracker()
        >>> tracker.note(2), tracker.note(1), tracker.latest
        (True, False, 2)
        """
        is_newer = era > self._latest
        self._latest = max(self._latest, era)
        return is_newer

    def is_older(self, era: model.Era) -> bool:
        """Return whether the store has been restored since an era.

        :param era: the era.
        """
        return era < self._latest
