"""Choice of the one endpoint at which all nodes try a suspected request."""

import collections.abc

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding import poison


def name_of(candidate: dispatch.Candidate) -> str:
    """Return the name of a candidate's endpoint and its start.

    :param candidate: the candidate.
    """
    return fleet.incarnation_name(fleet.incarnation_of(candidate.endpoint))


def first_candidate(
    subject: str,
    candidates: collections.abc.Iterable[dispatch.Candidate],
    crashed: collections.abc.Container[str],
) -> dispatch.Candidate | None:
    """Return the endpoint at which all nodes try a suspected request.

    :param subject: fingerprint of the request, or a part of its prompt.
    :param candidates: endpoints that could receive it.
    :param crashed: names of the endpoints that ended under the subject.
    :returns: the candidate; None if each has ended.
    """
    by_name = {name_of(candidate): candidate for candidate in candidates}
    left = [name for name in by_name if name not in crashed]
    order = poison.trial_order(subject, left)
    return by_name[order[0]] if order else None
