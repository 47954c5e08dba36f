"""Settings for the number of examples in property tests.

In CI the tests run few examples, which are the same in each run. ``make fuzz``
sets ``WASABILANDING_FUZZ_EXAMPLES`` to a larger number: the examples then
differ between runs, and a failing one is printed with the decorator that
reproduces it.
"""

import os

import hypothesis
from hypothesis import stateful

VARIABLE = "WASABILANDING_FUZZ_EXAMPLES"
STEPS_PER_EXAMPLE = 40
NO_VIOLATION = "nothing"


def with_fuzz_examples(settings: hypothesis.settings) -> hypothesis.settings:
    """Return the settings for fuzzing when the variable is set.

    :param settings: settings in CI, returned unchanged there.
    :raises ValueError: when the variable is not a number.
    """
    example_count = os.environ.get(VARIABLE, "")
    if not example_count:
        return settings
    return hypothesis.settings(
        settings,
        max_examples=int(example_count),
        derandomize=False,
        print_blob=True,
    )


def settings(examples: int) -> hypothesis.settings:
    """Return the settings of a property test.

    :param examples: number of examples in CI.
    :raises ValueError: when the variable is not a number.
    """
    return with_fuzz_examples(
        hypothesis.settings(
            max_examples=examples,
            stateful_step_count=STEPS_PER_EXAMPLE,
            derandomize=True,
            print_blob=False,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
    )


def search(
    machine: type[stateful.RuleBasedStateMachine],
    violation: type[Exception],
    examples: int,
    steps: int,
) -> str:
    """Search for a sequence of events that makes a state machine fail.

    :param machine: the state machine.
    :param violation: type of the error that it raises for a violation.
    :param examples: number of sequences in CI.
    :param steps: largest number of events in a sequence.
    :returns: text of the error, or :data:`NO_VIOLATION`.
    """
    base_settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=False,
        report_multiple_bugs=False,
    )
    try:
        stateful.run_state_machine_as_test(
            machine, settings=with_fuzz_examples(base_settings)
        )
    except violation as error:
        return str(error)
    return NO_VIOLATION
