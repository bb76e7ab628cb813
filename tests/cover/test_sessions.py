"""A session keeps its versions, or ends."""

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
    """Two models; the cheap one's version is as given."""
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
    """A hub of a node that is alone."""

    def handle(self, kind, handler):
        """Nobody will call."""


def make_sessions(clock: typing.Any) -> sessions.Sessions:
    """The sessions of a node that is alone."""
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
    """The cheap version is withdrawn amid a narrative.

    Going on with the strong one alone would change the narrative's voice.
    """
    pins = {"cheap": "c1", "strong": "s1"}
    for state, lost in (
        ("active", None),
        ("draining", None),
        ("withdrawn", "c1"),
    ):
        models = make_models(state)
        assert session.find_unavailable_pin(TASK, models, pins, True) == lost
    gone = {**pins, "strong": "s0"}
    assert (
        session.find_unavailable_pin(TASK, make_models(), gone, True) == "s0"
    )
    assert session.find_unavailable_pin(TASK, make_models(), {}, True) is None


def test_cut_off_node_ends_sessions_only_where_the_version_says_so():
    pins = {"cheap": "c1"}
    stop = make_models(when_cut_off="stop")
    assert session.find_unavailable_pin(TASK, stop, pins, True) is None
    assert session.find_unavailable_pin(TASK, stop, pins, False) == "c1"
    canary = make_models("canary")
    assert session.find_unavailable_pin(TASK, canary, pins, False) is None


def test_cut_off_node_starts_nothing_on_a_version_that_stops_there():
    """A domain is cut off and requests without a session go on coming."""
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


def test_token_is_honoured_until_it_ends_and_only_for_its_customer():
    clock = clock_module.ManualClock()
    opened = make_sessions(clock)
    token = SIGNER.sign(opened.open(CUSTOMER))
    elsewhere = make_sessions(clock)

    def read(text: str, name: str = "families") -> str:
        customer = declaration.Customer(
            name=name, key_digests=[], tasks=[], models=["cheap"]
        )
        try:
            pins = trio.run(elsewhere.read_pins, text, customer)
        except errors.InvalidToken as fault:
            return str(fault)
        return pins["cheap"]

    assert read(token) == "c1"
    assert "another customer" in read(token, "schools")
    # The last characters of a signature hold bits that count for nothing;
    # its first one always counts.
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
