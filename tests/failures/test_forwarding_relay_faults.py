"""Relayed requests run at most once, whatever breaks in which order."""

import random

import attrs
from nose2.tools import params
import trio

from carawayward import settings as settings_module
from tests.common import forwarding
from tests.standins import backend
from tests.standins import link as link_module

ENTRY_VMS = 3
DESKS = 3
SECONDS = 3.0
CALLERS = 6
DEADLINE_MS = 800
SAFE_PATH, UNSAFE_PATH = "/look/", "/log/"
REFUSED = (408, 421, 429, 503)
MIN_RELAYED = 5
LINK_MODES = ("open", "open", "open", "held", "reset", "stale")


@attrs.define(eq=False)
class Faults:
    """Draws what happens to ways, peers, endpoints and callers."""

    made: forwarding.Forwarding
    draw: random.Random
    links: list[link_module.Link]

    async def run(self) -> None:
        """Cut, restore and disturb until cancelled.

        The first entry VM stays cut off, so that there is always a need.
        """
        self.made.cut_off(0)
        while True:
            await trio.sleep(self.draw.uniform(0.02, 0.15))
            vm = self.draw.randrange(ENTRY_VMS)
            mode = self.draw.choice(LINK_MODES)
            match self.draw.randrange(3):
                case 0:
                    self.made.cut_off(vm)
                case 1:
                    self.made.restore(max(1, vm))
                case 2:
                    self.links[vm].set_mode(mode, 0.0)


async def put_links_before_peers(made):
    """Let the entry VMs reach each other only through links."""
    links = []
    for number, daemon in enumerate(made.daemons):
        address = daemon.settings.listen.peers
        _, port = settings_module.split_address(address)
        link = link_module.Link(port)
        port = await made.nursery.start(link_module.serve_link, link)
        name = f"edge-{number}"
        for other in made.daemons:
            if other is not daemon:
                peers = other.app.forwarder.sender.relays.reporter.peers
                await made.wait_for(lambda: name in peers)  # noqa: B023
                peers[name].address = ("127.0.0.1", port)
        links.append(link)
    return links


def make_behaviour(draw):
    """Answer slowly, fail, decline, or break off before or after the run."""

    async def behave(server, exchange):
        await trio.sleep(draw.uniform(0.0, 0.1))
        behaviour = draw.choice(
            (
                backend.answer_normally,
                backend.answer_normally,
                backend.answer_not_executed,
                backend.fail,
                backend.reset_after_run,
                backend.answer_truncated,
            )
        )
        await behaviour(server, exchange)

    return behave


async def send_calls(made, draw, answers):
    """Send calls with paths of their own; some callers leave."""
    while True:
        prefix = draw.choice((SAFE_PATH, UNSAFE_PATH))
        path = f"{prefix}{draw.randrange(10**12)}"
        with trio.move_on_after(draw.choice((0.05, 5.0))):
            answer = await made.call(
                "POST",
                path,
                daemon=draw.randrange(ENTRY_VMS),
                carawayward_deadline_ms=str(DEADLINE_MS),
            )
            answers[path] = answer.status


def count_runs_by_path(desks):
    runs: dict[str, int] = {}
    for desk in desks:
        for run in desk.runs:
            runs[run.request.target] = runs.get(run.request.target, 0) + 1
    return runs


async def play(seed):
    draw = random.Random(seed)
    desks = [backend.Backend(f"desk-{number}") for number in range(DESKS)]
    for desk in desks:
        desk.always = make_behaviour(draw)
    answers: dict[str, int] = {}
    async with forwarding.open_forwarding(
        *desks, daemons=ENTRY_VMS, separate=True
    ) as made:
        links = await put_links_before_peers(made)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(send_calls, made, draw, answers)
            nursery.start_soon(Faults(made, draw, links).run)
            await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()
        # Whatever was held may still arrive.
        for vm, link in enumerate(links):
            link.set_mode("open", 0.0)
            made.restore(vm)
        await trio.sleep(1.0)
        relayed = sum(
            count
            for daemon in made.daemons
            for (name, labels), count in daemon.app.metrics.counters.items()
            if name == "relays" and ("outcome", "relayed") in labels
        )
    return answers, count_runs_by_path(desks), relayed


@params(1, 2, 3, 4)
def test_relayed_requests_run_at_most_once_and_refusals_are_true(seed):
    """Partitions, broken and silent links between entry VMs, lost answers."""
    answers, runs, relayed = trio.run(play, seed)
    assert relayed > MIN_RELAYED, "too few relays for a valid check"
    twice = [
        path
        for path, count in runs.items()
        if path.startswith(UNSAFE_PATH) and count > 1
    ]
    assert not twice
    untrue = [
        path
        for path, status in answers.items()
        if status in REFUSED and runs.get(path)
    ]
    assert not untrue
    lost = [
        path
        for path, status in answers.items()
        if status < 300 and not runs.get(path)
    ]
    assert not lost
