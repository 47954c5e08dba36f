"""Load generation, fault injection, benchmarks and reports."""
