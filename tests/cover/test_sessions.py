"""A session keeps the versions that it is pinned to, or ends."""

import typing

import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.decisions import session
from carawayward import declaration
from carawayward import errors
from carawayward.gateway import sessions
from carawayward.protocol import tokens

SIGNER = tokens.Signer(("0123456789abcdef",))
TASK = declaration.Task(name="t", cascade=["cheap", "strong"])
CUSTOMER = declaration.Customer(
    name="families", key_digests=[], tasks=["t"], models=["cheap", "strong"]
)


def make_models(state: str = "active", when_cut_off: str = "default") -> dict:
    """Make two models; the arguments apply to the cheap one's version."""
    cheap = declaration.Version(
        name="c1",
        cost=1.0,
        state=declaration.VersionState(state),
        when_cut_off=declaration.CutOff(when_cut_off),
    )
    strong = declaration.Version(name="s1", cost=9.0)
    return {
        "cheap": declaration.Model(name="cheap", versions=[cheap]),
        "strong": declaration.Model(name="strong", versions=[strong]),
    }


class NoPeers:
    """The hub of a node without peers."""

    def handle(self, kind, handler):
        """Ignore the handler, since no peer calls it."""


def make_sessions(clock: typing.Any) -> sessions.Sessions:
    """Make the sessions of a node without peers."""
    board = blackboard_module.Blackboard(name="a", failure_domain="d")
    document = {
        "format": 1,
        "models": [
            {"name": "cheap", "versions": [{"name": "c1", "cost": 1.0}]},
            {"name": "strong", "versions": [{"name": "s1", "cost": 9.0}]},
        ],
        "tasks": [{"name": "t", "cascade": ["cheap", "strong"]}],
        "customers": [],
    }
    board.config = blackboard_module.ConfigInForce.from_config(1, document)
    hub: typing.Any = NoPeers()
    return sessions.Sessions(board, clock, hub, SIGNER)


def test_withdrawn_pin_ends_the_session_for_the_whole_cascade():
    """The cheap version is withdrawn during a session.

    To continue with the strong one alone would change the style of the text
    midway.
    """
    pins = {"cheap": "c1", "strong": "s1"}
    for state, lost in (
        ("active", None),
        ("draining", None),
        ("withdrawn", "c1"),
    ):
        models = make_models(state)
        assert session.find_unavailable_pin(TASK, models, pins, True) == lost
    unknown_version = {**pins, "strong": "s0"}
    assert (
        session.find_unavailable_pin(
            TASK, make_models(), unknown_version, True
        )
        == "s0"
    )
    assert session.find_unavailable_pin(TASK, make_models(), {}, True) is None


def test_cut_off_node_ends_sessions_only_if_the_version_requires_it():
    pins = {"cheap": "c1"}
    stop = make_models(when_cut_off="stop")
    assert session.find_unavailable_pin(TASK, stop, pins, True) is None
    assert session.find_unavailable_pin(TASK, stop, pins, False) == "c1"
    canary = make_models("canary")
    assert session.find_unavailable_pin(TASK, canary, pins, False) is None


def test_cut_off_node_starts_no_work_on_a_version_that_forbids_it():
    """Requests without a session reach a failure domain that is cut off."""
    versions = {
        version.name: version
        for model in make_models(when_cut_off="settled-only").values()
        for version in model.versions
    }
    plan = ["c1", "s1"]
    assert session.find_unstartable_version(plan, {}, versions, True) is None
    assert session.find_unstartable_version(plan, {}, versions, False) == "c1"
    pins = {"cheap": "c1"}
    assert (
        session.find_unstartable_version(plan, pins, versions, False) is None
    )


def test_token_is_valid_until_it_expires_and_only_for_its_customer():
    clock = clock_module.ManualClock()
    node = make_sessions(clock)
    token = SIGNER.sign(node.open(CUSTOMER))
    other_node = make_sessions(clock)

    def read(text: str, name: str = "families") -> str:
        customer = declaration.Customer(
            name=name, key_digests=[], tasks=[], models=["cheap"]
        )
        try:
            pins = trio.run(other_node.read_pins, text, customer)
        except errors.InvalidToken as fault:
            return str(fault)
        return pins["cheap"]

    assert read(token) == "c1"
    assert "another customer" in read(token, "schools")
    # The last characters of a base64 signature hold unused bits; its first
    # character is always significant.
    payload, _, signature = token.rpartition(".")
    other = "A" if signature[0] != "A" else "B"
    assert "forged" in read(f"{payload}.{other}{signature[1:]}")
    assert "characters" in read(token * 100)
    clock.advance(sessions.SESSION_TTL_MS + 1)
    assert "ended" in read(token)


def test_bare_id_is_pinned_once():
    clock = clock_module.ManualClock()
    node = make_sessions(clock)
    first = trio.run(node.read_pins, "my-own-id", CUSTOMER)
    assert first == {"cheap": "c1", "strong": "s1"}
    assert node.board.config is not None
    node.board.config.models.clear()
    assert trio.run(node.read_pins, "my-own-id", CUSTOMER) == first
