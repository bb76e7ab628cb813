"""Checks the numbers in the reports of peers.

What is added to a sum is taken from it again once it is replaced: a value that
is no number, or so large that others are lost beside it, would stay in it.
"""

import typing

# Above any load, count or time in ms that is reported. Sums of thousands of
# whole numbers up to this are exact as floats.
MAX_VALUE = 2**40


def check_count(value: typing.Any) -> int:
    """Return a whole number that is not negative, or raise ValueError."""
    if type(value) is not int or not 0 <= value <= MAX_VALUE:
        raise ValueError(f"expected a number from 0 to {MAX_VALUE}")
    return value


def check_age(value: typing.Any) -> float:
    """Return the age of an observation in ms, or raise ValueError."""
    return float(check_count(value))
