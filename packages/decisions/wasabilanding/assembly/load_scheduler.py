"""Loads from the weight store: when one may start."""

from wasabilanding.assembly import orders
from wasabilanding.assembly import rate_limiter
from wasabilanding import fleet
from wasabilanding import routes

# A load under way is not ordered again.
LOAD_RETRY_S = 20.0
NEVER = float("-inf")


class LoadScheduler:
    """Loads that a planner has ordered.

    The weight store carries few loads at full speed, and every further one
    makes all of them slower, so a load waits until there is room.
    """

    def __init__(self) -> None:
        self._rate_limiter = rate_limiter.LoadRateLimiter()
        self._load_ends: list[float] = []
        self._ordered_at: dict[tuple[str, str], float] = {}
        self._next_extra_load_at = NEVER

    def stage(
        self,
        endpoint: fleet.Endpoint,
        spec: routes.ModelSpec,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return the order to load a model, if the load may start now.

        :param endpoint: endpoint whose host loads it.
        :param spec: the model.
        :param inputs: what is known.
        :param now: local monotonic time in seconds.
        """
        key = (endpoint.endpoint_id, spec.name)
        if now - self._ordered_at.get(key, NEVER) < LOAD_RETRY_S:
            return []
        if not inputs.loads_are_unlimited:
            if not self._has_room(inputs, now):
                return []
            self._load_ends.append(now + spec.load_s)
        self._ordered_at[key] = now
        return [orders.Stage(endpoint, spec.name)]

    def _has_room(self, inputs: orders.PlannerInput, now: float) -> bool:
        self._load_ends = [end for end in self._load_ends if end > now]
        if not inputs.may_load(1 + len(self._load_ends)):
            return False
        return self._rate_limiter.try_start(
            1, inputs.spec.load_starts_per_s, now
        )

    def stage_extra(
        self,
        wanted: list[tuple[fleet.Endpoint, routes.ModelSpec]],
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return orders to load second models that nobody needs yet.

        All of them while loads are free, then one at a time and only while
        no load is under way.

        :param wanted: endpoints, each with the model to load.
        :param inputs: what is known.
        :param now: local monotonic time in seconds.
        """
        if not inputs.loads_are_unlimited:
            if now < self._next_extra_load_at or inputs.loading:
                return []
            wanted = wanted[:1]
        found = [
            order
            for endpoint, spec in wanted
            for order in self.stage(endpoint, spec, inputs, now)
        ]
        if found:
            self._next_extra_load_at = now + wanted[0][1].load_s
        return found
