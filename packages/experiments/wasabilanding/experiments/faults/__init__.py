"""Runs of one failure domain under faults, and their history checks."""
