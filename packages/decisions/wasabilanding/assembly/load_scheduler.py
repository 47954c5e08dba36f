"""Scheduling of loads from the weight store."""

from wasabilanding.assembly import orders
from wasabilanding.assembly import rate_limiter
from wasabilanding import fleet
from wasabilanding import routes

# Minimum time between two orders for the same load.
LOAD_RETRY_S = 20.0
NEVER = float("-inf")


class LoadScheduler:
    """Decides when the loads of one planner may start.

    The weight store serves few loads at full speed, and each further load
    slows all of them down, so a load waits for free capacity.
    """

    def __init__(self) -> None:
        self._rate_limiter = rate_limiter.LoadRateLimiter()
        self._load_ends: list[float] = []
        self._ordered_at: dict[tuple[fleet.Incarnation, str], float] = {}
        self._next_extra_load_at = NEVER

    def stage(
        self,
        endpoint: fleet.Endpoint,
        spec: routes.ModelSpec,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return the order to load a model, if the load may start now.

        :param endpoint: endpoint whose host loads the weights.
        :param spec: the model.
        :param inputs: current state of the cluster.
        :param now: local monotonic time in seconds.
        """
        if endpoint.endpoint_id in inputs.held_endpoints:
            return []
        key = (fleet.incarnation_of(endpoint), spec.name)
        if now - self._ordered_at.get(key, NEVER) < LOAD_RETRY_S:
            return []
        if not inputs.loads_are_unlimited:
            if not self._has_room(inputs, now):
                return []
            self._load_ends.append(now + spec.load_s)
        self._ordered_at = {
            ordered: at
            for ordered, at in self._ordered_at.items()
            if now - at < LOAD_RETRY_S
        }
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
        """Return orders to load second models ahead of need.

        While loads are unlimited, all of them start. Otherwise they start
        one at a time, and only while no other load is running.

        :param wanted: endpoints, each with the model to load.
        :param inputs: current state of the cluster.
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
