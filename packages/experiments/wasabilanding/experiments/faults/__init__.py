"""Runs of one failure domain under faults, with checked histories."""
