"""The list of all checkers, and a function that runs them."""

from collections.abc import Callable, Iterator

from chivehold.history.answers import (
    check_not_run,
    check_one_answer,
    check_refusals_are_typed,
    check_run_once,
    check_whole_answer,
)
from chivehold.history.events import History, Violation
from chivehold.history.nodes import check_in_force, check_monotonic, check_shutdown
from chivehold.history.upstreams import check_leaving, check_memory_released, check_nothing_held

Checker = Callable[[History], tuple[Violation, ...]]

CHECKERS: tuple[Checker, ...] = (
    check_one_answer,
    check_whole_answer,
    check_not_run,
    check_run_once,
    check_refusals_are_typed,
    check_memory_released,
    check_nothing_held,
    check_leaving,
    check_shutdown,
    check_in_force,
    check_monotonic,
)


def check_all(history: History) -> tuple[Violation, ...]:
    """Return the violations that all checkers find in a history."""
    return tuple(_violations(history))


def _violations(history: History) -> Iterator[Violation]:
    for checker in CHECKERS:
        yield from checker(history)
