"""Loads from the weight store: when one may start."""

from wasabilanding.assembly import ceiling
from wasabilanding.assembly import orders
from wasabilanding import fleet
from wasabilanding import routes

# A load under way is not ordered again.
RETRY_S = 20.0
NEVER = float("-inf")


class Loads:
    """Loads that a planner has ordered.

    The weight store carries few loads at full speed, and every further one
    makes all of them slower, so a load waits until there is room.
    """

    def __init__(self) -> None:
        self._ceiling = ceiling.LoadCeiling()
        self._ends: list[float] = []
        self._ordered_at: dict[tuple[str, str], float] = {}
        self._next_second_at = NEVER

    def stage(
        self,
        endpoint: fleet.Endpoint,
        spec: routes.ModelSpec,
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Return the order to load a model, if the load may start now.

        :param endpoint: endpoint whose host loads it.
        :param spec: the model.
        :param situation: what is known.
        :param now: local monotonic time in seconds.
        """
        key = (endpoint.endpoint_id, spec.name)
        if now - self._ordered_at.get(key, NEVER) < RETRY_S:
            return []
        if not situation.loads_are_free:
            if not self._has_room(situation, now):
                return []
            self._ends.append(now + spec.load_s)
        self._ordered_at[key] = now
        return [orders.Stage(endpoint, spec.name)]

    def _has_room(self, situation: orders.Situation, now: float) -> bool:
        self._ends = [end for end in self._ends if end > now]
        if not situation.may_load(1 + len(self._ends)):
            return False
        return self._ceiling.take(1, situation.spec.load_starts_per_s, now)

    def stage_second(
        self,
        wanted: list[tuple[fleet.Endpoint, routes.ModelSpec]],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Return orders to load second models that nobody needs yet.

        All of them while loads are free, then one at a time and only while
        no load is under way.

        :param wanted: endpoints, each with the model to load.
        :param situation: what is known.
        :param now: local monotonic time in seconds.
        """
        if not situation.loads_are_free:
            if now < self._next_second_at or situation.loading:
                return []
            wanted = wanted[:1]
        found = [
            order
            for endpoint, spec in wanted
            for order in self.stage(endpoint, spec, situation, now)
        ]
        if found:
            self._next_second_at = now + wanted[0][1].load_s
        return found
