"""Print a table of all load patterns and policies.

Run as ``python -m wasabilanding.experiments.placing.compare``.
"""

from wasabilanding.experiments.placing import patterns
from wasabilanding.experiments.placing import policies
from wasabilanding.experiments.placing import simulation

SEED = 1


def main() -> None:
    """Simulate and print."""
    print("| pattern | policy | late | refused | p99 wait s | remote |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, pattern in patterns.PATTERNS.items():
        for policy, choose in policies.POLICIES.items():
            found = simulation.simulate(pattern, choose, SEED)
            print(
                f"| {name} | {policy} | {found.late:.3f} |"
                f" {found.refused:.3f} | {found.p99_wait_s:.2f} |"
                f" {found.remote:.2f} |"
            )


if __name__ == "__main__":
    main()
