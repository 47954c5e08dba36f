"""Load, faults and reports."""
