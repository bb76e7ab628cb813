"""Stand-in for a model engine; it records every run.

It models continuous batching: each token takes ``token_ms``, and longer in
proportion once the batch exceeds ``FULL_SPEED_BATCH`` runs. The answer is a
deterministic function of the messages and the version, so a test can check
that an answer is complete and belongs to its request. A run generates
tokens only while a connection reads it. Without a reader it can be resumed
at an offset for ``keep_ms``; after that, or when cancelled, it is freed.

Faults, set through ``/control``:

- ``down``: runs are refused with 503.
- ``silent``: runs are not answered.
- ``crash_mark``: the process exits on a request that contains this text.
- ``break_after``: streams end after this many tokens; only the next
  ``break_times`` of them if that is set.
- ``silent_after``: streams stop after this many tokens without closing;
  only the next ``silent_times`` of them if that is set.
- ``mute_posts``: this many requests to start a run are ignored, unanswered
  and unrecorded.
- ``forget``: runs cannot be resumed.
- ``confidence``: the confidence to report, by version.
- ``token_ms``: overrides the time per token.
- ``late_ms``: delay before the first token.
- ``leaving``: reports that the endpoint is leaving.
"""

import hashlib
import json
import os
import time
import typing

import fire
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from tests.standins import orders
from tests.standins import serving

FULL_SPEED_BATCH = 16
CRASH_EXIT_CODE = 70
# Starts the output line in which a crashing engine leaves its run records.
CRASHED_RUNS_PREFIX = "runs left: "
RETENTION_MS = 5_000


def make_answer(version: str, messages: list[dict], tokens: int) -> str:
    """Return the deterministic answer of a version to a conversation."""
    seed = json.dumps([version, [m["content"] for m in messages]])
    digest = hashlib.sha256(seed.encode()).hexdigest()
    words = [f"{version}:{digest[:8]}"]
    words += [
        f"w{digest[i % 60 : i % 60 + 4]}" for i in range(max(0, tokens - 1))
    ]
    return " ".join(words)


class Run:
    """One run; ``reader`` is the number of the connection reading it, or 0.

    A message that ends in "tokens=N" asks for N tokens.
    """

    def __init__(self, body: dict) -> None:
        self.version = body["version"]
        self.messages = body["messages"]
        count = min(body["max_tokens"], 24)
        mark = "tokens="
        if mark in self.messages[-1]["content"]:
            count = int(self.messages[-1]["content"].partition(mark)[2])
        self.answer = make_answer(self.version, self.messages, count)
        self.words = self.answer.split(" ")
        self.reader = 0
        self.tokens_made = 0
        self.started_at = time.monotonic()
        self.left_at = time.monotonic()
        self.state = "running"


class Engine:
    """One endpoint of a model engine."""

    def __init__(
        self, name: str, versions: tuple[str, ...], token_ms: float
    ) -> None:
        self.name = name
        self.versions = list(versions)
        self.token_ms = token_ms
        self.faults: serving.Faults = {}
        self.orders = orders.Orders(self.versions, self.faults)
        self.runs: list[dict] = []
        self.runs_by_id: dict[str, Run] = {}
        self.running: set[Run] = set()
        self.readers = 0

    @property
    def active_runs(self) -> int:
        """The number of runs in the batch."""
        self.free_abandoned_runs()
        return len(self.running)

    def free_abandoned_runs(self) -> None:
        """Free runs that had no reader for the retention period."""
        keep_s = self.faults.get("keep_ms", RETENTION_MS) / 1000
        now = time.monotonic()
        for run in list(self.running):
            if run.reader == 0 and now - run.left_at > keep_s:
                self.finish(run, "freed")

    def finish(self, run: Run, state: str) -> None:
        """Remove a run from the batch."""
        if run in self.running:
            self.running.remove(run)
            run.state = state

    def record_run(self, body: dict) -> None:
        """Record a run for the tests."""
        self.runs.append(
            {
                "run_id": body["run_id"],
                "version": body["version"],
                "seen_ms": time.monotonic_ns() // 1_000_000,
            }
        )

    async def run(self, request: requests.Request) -> responses.Response:
        """Start a run and stream it."""
        if self.faults.get("mute_posts", 0) > 0:
            self.faults["mute_posts"] -= 1
            await serving.hang()
        body = json.loads(await request.body())
        if self.faults.get("down") or body["version"] not in self.versions:
            return responses.Response("", 503)
        mark = self.faults.get("crash_mark")
        if mark and mark in json.dumps(body["messages"]):
            self.record_run(body)
            print(CRASHED_RUNS_PREFIX + json.dumps(self.runs), flush=True)
            os._exit(CRASH_EXIT_CODE)
        if self.faults.get("silent"):
            await serving.hang()
        run_id = body["run_id"]
        self.record_run(body)
        self.runs_by_id[run_id] = run = Run(body)
        self.running.add(run)
        return responses.StreamingResponse(
            self.generate(run, 0), media_type="text/event-stream"
        )

    async def resume(self, request: requests.Request) -> responses.Response:
        """Resume the stream of a run at an offset."""
        if self.faults.get("silent"):
            await serving.hang()
        self.free_abandoned_runs()
        run = self.runs_by_id.get(request.path_params["run_id"])
        if run is None or run.state == "freed" or self.faults.get("forget"):
            return responses.Response("", 404)
        offset = int(request.query_params.get("offset", "0"))
        return responses.StreamingResponse(
            self.generate(run, offset), media_type="text/event-stream"
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancel a run."""
        run = self.runs_by_id.get(request.path_params["run_id"])
        if run is not None:
            self.finish(run, "cancelled")
        return responses.JSONResponse({})

    async def generate(
        self, run: Run, offset: int
    ) -> typing.AsyncIterator[str]:
        """Yield the answer's tokens as events, and the end event.

        A newer reader of the same run ends this one.
        """
        self.readers += 1
        run.reader = reader = self.readers
        late_s = self.faults.get("late_ms", 0) / 1000
        try:
            await trio.sleep(
                max(0, run.started_at + late_s - time.monotonic())
            )
            for index in range(offset, len(run.words)):
                await self.wait_for_token(index)
                if run.reader != reader or run.state == "cancelled":
                    return
                if self.consume_fault("break", index):
                    return
                if self.consume_fault("silent", index):
                    await serving.hang()
                run.tokens_made = max(run.tokens_made, index + 1)
                word = run.words[index]
                text = word if index == 0 else f" {word}"
                event = json.dumps({"offset": index, "text": text})
                yield f"data: {event}\n\n"
        finally:
            if run.reader == reader:
                run.reader = 0
                run.left_at = time.monotonic()
        self.finish(run, "done")
        yield f"data: {json.dumps(self.make_end_event(run))}\n\n"

    async def wait_for_token(self, index: int) -> None:
        """Wait for as long as a token takes in a batch of this size."""
        slowdown = max(1.0, self.active_runs / FULL_SPEED_BATCH)
        token_ms = self.faults.get("token_ms", self.token_ms)
        await trio.sleep(token_ms * slowdown / 1000)

    def consume_fault(self, fault: str, index: int) -> bool:
        """Whether a stream fault applies at this token; counts it down."""
        if self.faults.get(f"{fault}_after") != index:
            return False
        left = self.faults.get(f"{fault}_times")
        if left is not None:
            self.faults[f"{fault}_times"] = left - 1
        return left is None or left > 0

    def make_end_event(self, run: Run) -> dict:
        """The event that ends a run's stream."""
        return {
            "end": True,
            "length": len(run.answer),
            "digest": hashlib.sha256(run.answer.encode()).hexdigest(),
            "input_tokens": sum(
                len(m["content"].split()) for m in run.messages
            ),
            "output_tokens": len(run.words),
            "confidence": self.rate(run.version, run.messages),
        }

    def rate(self, version: str, messages: list[dict]) -> float:
        """The reported confidence; lower for prompts that contain "hard"."""
        declared = self.faults.get("confidence", {})
        if version in declared:
            return float(declared[version])
        return 0.4 if "hard" in messages[-1]["content"] else 0.95

    async def report(self, request: requests.Request) -> responses.Response:
        """Report versions and load."""
        self.orders.finish_due_load()
        return responses.JSONResponse(
            {
                "versions": self.versions,
                "load": self.active_runs,
                "leaving": bool(self.faults.get("leaving")),
            }
        )

    async def list_runs(self, request: requests.Request) -> responses.Response:
        """Return every recorded run, for the tests."""
        return responses.JSONResponse(self.runs)

    async def list_run_states(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the state of every run, for the tests."""
        return responses.JSONResponse(
            [
                {"run_id": run_id, "state": run.state, "made": run.tokens_made}
                for run_id, run in self.runs_by_id.items()
            ]
        )


def main(port: int, name: str, versions: str, token_ms: float = 1.0) -> None:
    """Serve one endpoint on loopback; ``versions`` is comma-separated."""
    engine = Engine(name, tuple(str(versions).split(",")), token_ms)
    routes = [
        routing.Route("/v1/runs", engine.run, methods=["POST"]),
        routing.Route("/v1/runs/{run_id}", engine.resume, methods=["GET"]),
        routing.Route("/v1/runs/{run_id}", engine.cancel, methods=["DELETE"]),
        routing.Route("/kept", engine.list_run_states),
        routing.Route("/report", engine.report),
        routing.Route("/runs", engine.list_runs),
        *engine.orders.make_routes(),
    ]
    serving.serve(routes, engine.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
