"""Histories of concurrent runs and what they must satisfy.

Explanation
===========

A run records what happened, when and where. A checker looks only at that
history, knows nothing of the mechanism, and names each violation.
"""
