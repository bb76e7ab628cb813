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


def check_digest(value: typing.Any) -> str:
    """Return a digest in hex, or raise ValueError.

    A whole number would be taken for as many bytes.
    """
    if type(value) is not bytes:
        raise ValueError("expected the bytes of a digest")
    return value.hex()


def check_crashes(value: typing.Any) -> dict[str, int]:
    """Return the ages of crashes by endpoint, or raise ValueError."""
    return {
        str(_check_hash(endpoint)): check_count(age_ms)
        for endpoint, age_ms in value
    }


def _check_hash(value: typing.Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("expected the hash of an endpoint's name")
    return value
