"""Tests of forwarded streams: escalation, resumption and truncation."""

import copy

import attrs
import httpcore
from nose2.tools import params
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


def list_models(engines):
    return sorted(
        run.request.headers["carawayward-model"]
        for engine in engines
        for run in engine.runs
    )


def test_confident_answer_of_the_smallest_model_is_kept():
    """The small model's confidence is high: no other model is asked."""

    async def main():
        engines = make_engines(confidence={"small": 90.0})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert answer.status == 200
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert list_models(engines) == ["small"]

    trio.run(main)


def test_low_confidence_escalates_before_the_caller_gets_any_event():
    """The small model's confidence is low.

    Its answer is dropped and the largest model asked; the caller gets one
    complete stream from the start.
    """

    async def main():
        engines = make_engines(confidence={"small": 20.0, "large": 95.0})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert list_models(engines) == ["large", "small"]

    trio.run(main)


def test_resumed_stream_continues_with_the_model_that_began_it():
    """An entry VM is killed, and its caller resumes the stream at another.

    Which model gave the first part is not known there, and answers of two
    models must not be joined. The confidence decides as it did at first: if
    the smallest model's is high it gave the first part, else the largest did.
    """

    async def ask(confidence):
        engines = make_engines(confidence={"small": confidence})
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream(last_event_id="2")
        assert forwarding.read_numbers(answer.body) == [3, 4]
        return list_models(engines)

    assert trio.run(ask, 10.0) == ["large", "small"]
    assert trio.run(ask, 90.0) == ["small"]


def test_truncated_stream_is_resumed_after_the_last_complete_event():
    """An engine fails in the middle of the third event.

    The caller gets each event once and in order, with the headers of the
    first engine.
    """

    async def main():
        engines = make_engines(events=6, confidence={"small": 90.0})
        for engine in engines:
            engine.behaviours = [backend.break_after(2, cut_within_event=True)]
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


def test_stream_that_engines_decline_is_resumed_at_the_next():
    """Guards against streams closed unfinished while an engine has room.

    Its route allows three attempts; the first engine breaks off.
    """
    engines = make_engines(5)
    acts = iter([backend.break_after(2), *[backend.answer_not_executed] * 3])

    async def act_in_turn(engine, exchange):
        await next(acts, backend.answer_normally)(engine, exchange)

    async def main():
        for engine in engines:
            engine.always = act_in_turn
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream(carawayward_model="small")
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_stream_is_resumed_though_its_key_can_no_longer_be_validated():
    """A failure domain is partitioned in the middle of a stream.

    The key was valid when the request came. When the engine fails, keys can no
    longer be validated here; another engine must finish the stream all the
    same. A check as for a new request would refuse it.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            truncate = backend.break_after(2)

            async def expire_keys_and_truncate(engine, exchange):
                board = made.daemon.board
                board.bounds = attrs.evolve(board.bounds, key_lease_ms=0)
                await truncate(engine, exchange)

            for engine in engines:
                engine.behaviours = [expire_keys_and_truncate]
            answer = await made.request_stream()
            refused = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert refused.status == 503

    trio.run(main)


def test_stream_that_no_engine_completes_is_visibly_truncated():
    """Every engine fails: the caller must not take the stream as complete."""

    async def main():
        engines = make_engines(events=9, confidence={"small": 90.0})
        for engine in engines:
            engine.always = backend.break_after(1)
        async with forwarding.open_forwarding(*engines) as made:
            try:
                await made.request_stream()
            except httpcore.RemoteProtocolError:
                return
        raise AssertionError("the truncated stream looked complete")

    trio.run(main)


def test_stream_with_a_missing_event_is_not_relayed():
    """An engine skips an event, which the caller's answer would lack."""

    async def skip_event(engine, exchange):
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
            engine.behaviours = [skip_event]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_events_are_complete_however_the_stream_is_chunked():
    """Chunks end in the middle of events; callers get complete events."""

    async def send_in_small_chunks(engine, exchange):
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
        engine.always = send_in_small_chunks
        async with forwarding.open_forwarding(engine) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4, 5]

    trio.run(main)


def test_endless_event_is_limited_and_its_stream_retried_elsewhere():
    """An engine sends one event without end, which would fill the memory."""

    async def send_endless_event(engine, exchange):
        engine.begin(exchange).ended = "endless"
        await exchange.begin_stream(
            {**engine.seal(exchange), "content-type": "text/event-stream"}
        )
        for _ in range(40):
            await exchange.send_chunk(b"x" * 60_000)

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.behaviours = [send_endless_event]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)


def test_stream_that_does_not_end_is_truncated_at_the_routes_timeout():
    """An engine goes on streaming past the route's timeout."""

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


def test_entry_vms_report_the_load_of_engines_to_each_other():
    """Two entry VMs send long prompts at the same time.

    The second must know of the first's load within 0.2 s, or it may send its
    prompt to the same engine while the other one is idle.
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


def add_load(made, engines, weight):
    """Add ``weight`` to the outstanding load that is known of each engine."""
    placer = made.daemon.app.forwarder.placer
    for engine in engines:
        load = engine_load.Load(weight, 1)
        engine_load.add_own_load(placer.reporter.loads, engine.name, load)
    return placer.fleet.get_latency_model("engines")


def test_prompt_that_no_engine_can_read_in_time_is_refused_at_once():
    """A caller waits five seconds and gets nothing.

    The engines have a backlog of ten seconds. Queued behind it, the prompt is
    read only after its caller has left.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            latency_model = add_load(made, engines, 1e6)
            latency_model.token_ms = 0.01
            began = trio.current_time()
            answer = await made.request_stream()
            assert answer.status == 503
            assert trio.current_time() - began < 0.5
            # The backlog of ten seconds, less the target of 0.3 s.
            assert float(answer.headers["retry-after"]) > 7.0
            assert not any(engine.runs for engine in engines)

    trio.run(main)


def list_urgencies(engines):
    return sorted(
        run.request.headers.get("carawayward-request-priority", "")
        for engine in engines
        for run in engine.runs
    )


def test_engines_are_told_the_urgency_where_ranks_are_declared():
    """Urgent requests wait in engines behind less urgent ones.

    The second run follows a dropped answer and goes before new requests. With
    a backlog past its target, one of the most urgent rank goes first. Engines
    whose memory does not hold a full batch would preempt running streams.
    """
    small_memory = forwarding.make_config()
    small_memory["tenants"][1]["priority"] = 7
    ranked = copy.deepcopy(small_memory)
    for service in ranked["services"]:
        if "engine" in service:
            service["engine"]["kvCapacityTokens"] = 1_000_000

    async def main(config, load):
        engines = make_engines(confidence={"small": 20.0, "large": 95.0})
        async with forwarding.open_forwarding(*engines, config=config) as made:
            add_load(made, engines, 0.0).token_ms = 0.001
            placer = made.daemon.app.forwarder.placer
            for engine in engines:
                engine_load.add_own_load(
                    placer.reporter.loads,
                    engine.name,
                    engine_load.Load.of_class(load, 1, 1),
                )
            assert (await made.request_stream()).status == 200
        return list_urgencies(engines)

    assert trio.run(main, forwarding.make_config(), 0.0) == ["", ""]
    assert trio.run(main, small_memory, 0.0) == ["", ""]
    assert trio.run(main, ranked, 0.0) == ["2", "3"]
    # Nothing escalates while engines are behind.
    assert trio.run(main, ranked, 1e6) == ["1"]


def test_idle_engine_is_tried_whatever_latency_is_predicted():
    """An entry VM was suspended for seconds, and all responses seemed late.

    With the latencies measured then, each prediction exceeds the deadline. If
    every request were refused for that, the latency model could not recover.
    """

    async def main():
        engines = make_engines()
        async with forwarding.open_forwarding(*engines) as made:
            placer = made.daemon.app.forwarder.placer
            latency_model = placer.fleet.get_latency_model("engines")
            latency_model.base_ms = 60_000.0
            answer = await made.request_stream()
            assert answer.status == 200
            assert latency_model.base_ms < 60_000.0

    trio.run(main)


def test_first_token_that_is_late_because_of_load_is_waited_for():
    """A prompt is read three times, each time on a busier engine.

    Engines need 1.5 s to the first token. The attempt times out after a part
    of the caller's time, though no other engine would be faster.
    """

    async def respond_late(engine, exchange):
        await trio.sleep(1.0)
        await backend.answer_normally(engine, exchange)

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.always = respond_late
        async with forwarding.open_forwarding(*engines) as made:
            latency_model = add_load(made, engines, 1e6)
            latency_model.token_ms = 0.001
            answer = await made.request_stream(carawayward_deadline_ms="1600")
            assert answer.status == 200
            assert sum(engine.arrivals for engine in engines) == 1
            assert not made.daemon.app.forwarder.fleet.list_quarantined()

    trio.run(main)


def test_stream_that_ends_with_its_connection_is_whole():
    """The engine sends neither a length nor chunks."""

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.always = backend.stream_unframed(4)
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert answer.status == 200
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]
        assert sum(len(engine.runs) for engine in engines) == 1

    trio.run(main)


@params("reset", "within event")
def test_unframed_stream_that_breaks_off_is_resumed(ending):
    """Its connection is reset, or ends in the middle of an event."""

    async def main():
        engines = make_engines()
        for engine in engines:
            engine.behaviours = [backend.stream_unframed(2, ending)]
        async with forwarding.open_forwarding(*engines) as made:
            answer = await made.request_stream()
        assert answer.status == 200
        assert forwarding.read_numbers(answer.body) == [1, 2, 3, 4]

    trio.run(main)
