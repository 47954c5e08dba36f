"""Retries: what follows an attempt that did not complete."""

from wasabilanding.retries.policy import Attempts
from wasabilanding.retries.policy import GiveUp
from wasabilanding.retries.policy import MAX_ATTEMPTS
from wasabilanding.retries.policy import next_step
from wasabilanding.retries.policy import Retry

__all__ = ["Attempts", "GiveUp", "MAX_ATTEMPTS", "Retry", "next_step"]
