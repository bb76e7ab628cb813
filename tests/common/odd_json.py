"""JSON values that other programs may write, as strategies for Hypothesis."""

from hypothesis import strategies

ODD_NUMBERS = strategies.sampled_from(
    [10**400, -1, 0, float("nan"), float("inf"), -float("inf"), 2**63, True]
)
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.integers()
    | strategies.floats()
    | ODD_NUMBERS
    | strategies.text(max_size=6)
    | strategies.sampled_from(
        ["127.0..1:80", "[::1:80", "a\x00:80", "x\r\ny: z", "\ud800", "1:2:3"]
        + ["x" * 300]
    ),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=4,
)
