"""Forwarded streams: models by confidence, resumption, what breaks off."""

import attrs
import httpcore
import trio

from carawayward.decisions import engine_load
from tests.common import forwarding
from tests.standins import backend


def make_engines(count=2, **changes):
    return [
        backend.Backend(
            f"engine-{number}", service="engines", engine=True, **changes
        )
        for number in range(count)
    ]


def models_of(engines):
    return sorted(
        run.request.headers["carawayward-model"]
        for engine in engines
        for run in engine.runs
    )


def test_sure_answer_of_the_smallest_model_is_kept():
    """The small model is sure of its answer: no other model is asked."""

    async def main():
        engines = make_engines(confidence={"small": 90.0})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert answer.status == 200
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert models_of(engines) == ["small"]

    trio.run(main)


def test_unsure_answer_climbs_before_the_caller_sees_any_of_it():
    """The small model thinks little of its answer.

    It is dropped and the largest model asked; the caller sees one stream,
    whole and from the start.
    """

    async def main():
        engines = make_engines(confidence={"small": 20.0, "large": 95.0})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert models_of(engines) == ["large", "small"]

    trio.run(main)


def test_resumed_stream_goes_on_with_the_model_that_is_sure_of_it():
    """Entry VMs are killed, and their callers come back for the rest.

    Which model gave the first part is not known here. The one whose answer
    would be kept now is the one that gave it: a request of which the smallest
    is sure had its words, any other the largest's, and the two are not to be
    joined.
    """

    async def ask(confidence):
        engines = make_engines(confidence={"small": confidence})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream(last_event_id="2")
        assert forwarding.read_numbers(answer.body) == [3, 4]
        return models_of(engines)

    assert trio.run(ask, 10.0) == ["large", "small"]
    assert trio.run(ask, 90.0) == ["small"]


def test_broken_stream_goes_on_elsewhere_from_the_last_whole_event():
    """An engine breaks off amid the third event.

    The caller gets each event once and in order, under the headers of the
    first engine.
    """

    async def main():
        engines = make_engines(events=6, confidence={"small": 90.0})
        for engine in engines:
            engine.behaviours = [backend.break_after(2, torn=True)]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4, 5, 6]
        assert answer.body.count(b"data: ha") == 0
        seals = {f"{engine.name}.seal" for engine in engines}
        assert answer.headers["carawayward-server-seal"] in seals
        last = [
            run.request.headers.get("last-event-id")
            for engine in engines
            for run in engine.runs
        ]
        assert "2" in last

    trio.run(main)


def test_stream_whose_keys_lapsed_meanwhile_goes_on_elsewhere():
    """A failure domain is cut off in the middle of a digest.

    Its key was good when the request came. When its engine is lost the keys
    can no longer be proved here; the other engine finishes the digest, as the
    first would have done. Cause: a run that goes on was taken for a new one.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            break_off = backend.break_after(2)

            async def lapse_and_break(engine, exchange):
                board = made.daemon.board
                board.bounds = attrs.evolve(board.bounds, key_lease_ms=0)
                await break_off(engine, exchange)

            for engine in engines:
                engine.behaviours = [lapse_and_break]
            answer = await made.request_stream()
            refused = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert refused.status == 503

    trio.run(main)


def test_stream_that_nobody_finishes_is_visibly_broken():
    """Every engine breaks off: the caller must not take it for whole."""

    async def main():
        engines = make_engines(events=9, confidence={"small": 90.0})
        for engine in engines:
            engine.always = backend.break_after(1)
        async with forwarding.open_forwarding(*engines) as made:
            try:
                await made.request_stream()
            except httpcore.RemoteProtocolError:
                return
        raise AssertionError("the broken stream looked complete")

    trio.run(main)


def test_gap_in_a_stream_is_not_passed_on():
    """A resumed engine skips an event; joined, the answer would lack it."""

    async def skip(engine, exchange):
        engine.begin(exchange).ended = "gap"
        await exchange.begin_stream(
            {**engine.seal(exchange), "content-type": "text/event-stream"}
        )
        await exchange.send_chunk(backend.make_event(1))
        await exchange.send_chunk(backend.make_event(3))
        await exchange.send_chunk(b"")

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.behaviours = [skip]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_events_of_one_piece_and_pieces_of_one_event():
    """Engines cut their stream anywhere; callers get whole events."""

    async def slice_up(engine, exchange):
        engine.begin(exchange).ended = "ok"
        await exchange.begin_stream(
            {**engine.seal(exchange), "content-type": "text/event-stream"}
        )
        whole = b"".join(backend.make_event(n) for n in range(1, 6))
        for start in range(0, len(whole), 7):
            await exchange.send_chunk(whole[start : start + 7])
        await exchange.send_chunk(b"")

    async def main():
        (engine,) = make_engines(1)
        engine.always = slice_up
        async with forwarding.open_forwarding(engine) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4, 5]

    trio.run(main)


def test_event_without_end_is_given_up_and_asked_for_elsewhere():
    """An engine sends one event that never ends; memory is bounded."""

    async def babble(engine, exchange):
        engine.begin(exchange).ended = "babble"
        await exchange.begin_stream(
            {**engine.seal(exchange), "content-type": "text/event-stream"}
        )
        for _ in range(40):
            await exchange.send_chunk(b"x" * 60_000)

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.behaviours = [babble]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_stream_that_does_not_end_is_broken_off_at_the_routes_time():
    """An engine streams on past the route's time limit."""

    async def main():
        (engine,) = make_engines(1, events=10_000, pause_ms=20.0)
        config = forwarding.make_config()
        config["routes"][2]["timeoutMs"] = 700
        async with forwarding.open_forwarding(engine, config=config) as made:
            began = trio.current_time()
            try:
                await made.request_stream()
            except httpcore.RemoteProtocolError:
                pass
            else:
                raise AssertionError("the stream looked complete")
            assert trio.current_time() - began < 1.2

    trio.run(main)


def test_entry_vms_tell_each_other_what_engines_have_to_read():
    """Two entry VMs send long prompts at the same time.

    Each knows of the other's within a moment, so the second prompt goes to
    the idle engine rather than behind the first.
    """

    async def main():
        engines = make_engines(2)
        for engine in engines:
            engine.always = backend.stay_silent
        async with forwarding.open_forwarding(*engines, daemons=2) as made:
            peers = [
                daemon.app.forwarder.placer.reporter.peers
                for daemon in made.daemons
            ]
            await made.wait_for(lambda: all(peers))
            async with trio.open_nursery() as nursery:

                async def ask(daemon):
                    await made.request_stream(
                        daemon=daemon, carawayward_deadline_ms="3000"
                    )

                nursery.start_soon(ask, 0)
                await made.wait_for(
                    lambda: any(engine.runs for engine in engines)
                )
                await trio.sleep(0.2)
                nursery.start_soon(ask, 1)
                await made.wait_for(
                    lambda: all(engine.runs for engine in engines)
                )
                nursery.cancel_scope.cancel()

    trio.run(main)


def fill_engines(made, engines, weight):
    """Have the entry VM believe that each engine has so much to read."""
    placer = made.daemon.app.forwarder.placer
    for engine in engines:
        load = engine_load.Load(weight, 1)
        engine_load.add_own_load(placer.reporter.loads, engine.name, load)
    return placer.fleet.get_latency_model("engines")


def test_prompt_that_no_engine_reads_in_time_is_refused_at_once():
    """An inspector waits five seconds for a summary and gets nothing.

    Engines are ten seconds behind. Cause: the request is queued behind all
    that, and read though its caller has left by then.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            pace = fill_engines(made, engines, 1e6)
            pace.token_ms = 0.01
            began = trio.current_time()
            answer = await made.request_stream()
            assert answer.status == 503
            assert trio.current_time() - began < 0.5
            # Ten seconds behind, less the target of 0.3 s.
            assert float(answer.headers["retry-after"]) > 7.0
            assert not any(engine.runs for engine in engines)

    trio.run(main)


def test_idle_engine_is_tried_whatever_the_pace_that_was_learned():
    """An entry VM stood still for some seconds, and all heads seemed late.

    What it learned of the engines' pace then makes every request hopeless.
    Refused without a try, none could ever teach it better.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            placer = made.daemon.app.forwarder.placer
            pace = placer.fleet.get_latency_model("engines")
            pace.base_ms = 60_000.0
            answer = await made.request_stream()
            assert answer.status == 200
            assert pace.base_ms < 60_000.0

    trio.run(main)


def test_head_that_comes_late_because_of_load_is_waited_for():
    """A digest is read three times over, each time on a busier engine.

    Engines take 1.5 s to a first text. Cause: the wait for it ends at a part
    of the caller's time, though no other engine would be sooner.
    """

    async def answer_late(engine, exchange):
        await trio.sleep(1.0)
        await backend.run_well(engine, exchange)

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.always = answer_late
        async with forwarding.open_forwarding(*engines) as made:
            pace = fill_engines(made, engines, 1e6)
            pace.token_ms = 0.001
            answer = await made.request_stream(carawayward_deadline_ms="1600")
            assert answer.status == 200
            assert sum(engine.arrivals for engine in engines) == 1
            assert not made.daemon.app.forwarder.fleet.list_quarantined()

    trio.run(main)
