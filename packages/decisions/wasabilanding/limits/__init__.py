"""Limits: how much work is admitted, and from whom."""

from wasabilanding.limits.admission import Admission

__all__ = ["Admission"]
