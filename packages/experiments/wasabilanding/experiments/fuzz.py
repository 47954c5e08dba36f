"""How long property tests search for a failing example.

In CI the search is short and the same each time. ``make fuzz`` sets
``WASABILANDING_FUZZ_EXAMPLES``: the search is longer and starts elsewhere on
every run; a failing example is printed with the line that repeats it.
"""

import os

import hypothesis
from hypothesis import stateful

VARIABLE = "WASABILANDING_FUZZ_EXAMPLES"
STEPS_PER_EXAMPLE = 40
NO_VIOLATION = "nothing"


def with_fuzz_examples(settings: hypothesis.settings) -> hypothesis.settings:
    """Return settings for the longer run when one is asked for.

    :param settings: settings of the run in CI; returned as they are there.
    :raises ValueError: when the variable is not a number.
    """
    wanted = os.environ.get(VARIABLE, "")
    if not wanted:
        return settings
    return hypothesis.settings(
        settings,
        max_examples=int(wanted),
        derandomize=False,
        print_blob=True,
    )


def settings(examples: int) -> hypothesis.settings:
    """Return the settings of a property test.

    :param examples: examples in CI.
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
    broken: type[Exception],
    examples: int,
    steps: int,
) -> str:
    """Return what some order of events breaks in a state machine.

    :param machine: the state machine.
    :param broken: error by which it tells what was broken.
    :param examples: sequences of events in CI.
    :param steps: events in each.
    :returns: text of the error, or :data:`NO_VIOLATION`.
    """
    bounded = hypothesis.settings(
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
            machine, settings=with_fuzz_examples(bounded)
        )
    except broken as error:
        return str(error)
    return NO_VIOLATION
