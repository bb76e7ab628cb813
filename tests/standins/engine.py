"""Stand-in for a model engine; it records every run that it makes.

It batches continuously: each token takes ``token_ms`` and slows down as the
batch grows. Its answer is a function of the messages and the version, so a
caller can tell whether an answer is whole and its own. A run makes tokens
while it is read; one that nobody reads is kept for ``keep_ms``, to be read
on from an offset, and is freed then or when it is cancelled.

Faults: ``down``, ``silent``, ``crash_mark`` (a text at which the process
exits), ``break_after`` (tokens after which a stream breaks, ``break_times``
often if given), ``silent_after`` (tokens after which a connection falls
silent, ``silent_times`` often), ``mute_posts`` (that many starts vanish
unseen), ``forget`` (runs are not kept), ``confidence`` (by version),
``token_ms``, ``late_ms`` (before the first token), ``leaving``.
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

BATCH = 16
CRASH_EXIT = 70
# A line of its output that begins so holds the runs of one that crashed.
CRASHED_RUNS_PREFIX = "runs left: "
KEEP_MS = 5_000


def make_answer(version: str, messages: list[dict], tokens: int) -> str:
    """The one answer that a version gives to a conversation."""
    seed = json.dumps([version, [m["content"] for m in messages]])
    digest = hashlib.sha256(seed.encode()).hexdigest()
    words = [f"{version}:{digest[:8]}"]
    words += [
        f"w{digest[i % 60 : i % 60 + 4]}" for i in range(max(0, tokens - 1))
    ]
    return " ".join(words)


class Run:
    """One run; ``reader`` numbers the connection that reads it now."""

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
        self.made = 0
        self.begun = time.monotonic()
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
        self.kept: dict[str, Run] = {}
        self.running: set[Run] = set()
        self.readers = 0

    @property
    def busy(self) -> int:
        """How many runs hold a place in the batch."""
        self.free_unread()
        return len(self.running)

    def free_unread(self) -> None:
        """Free runs that nobody has read for a while."""
        keep_s = self.faults.get("keep_ms", KEEP_MS) / 1000
        now = time.monotonic()
        for run in list(self.running):
            if run.reader == 0 and now - run.left_at > keep_s:
                self.finish(run, "freed")

    def finish(self, run: Run, state: str) -> None:
        """Free the place that a run holds."""
        if run in self.running:
            self.running.remove(run)
            run.state = state

    def record_run(self, body: dict) -> None:
        """Keep a run's note for the tests."""
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
            os._exit(CRASH_EXIT)
        if self.faults.get("silent"):
            await serving.hang()
        run_id = body["run_id"]
        self.record_run(body)
        self.kept[run_id] = run = Run(body)
        self.running.add(run)
        return responses.StreamingResponse(
            self.generate(run, 0), media_type="text/event-stream"
        )

    async def resume(self, request: requests.Request) -> responses.Response:
        """Stream a kept run from an offset."""
        if self.faults.get("silent"):
            await serving.hang()
        self.free_unread()
        run = self.kept.get(request.path_params["run_id"])
        if run is None or run.state == "freed" or self.faults.get("forget"):
            return responses.Response("", 404)
        offset = int(request.query_params.get("offset", "0"))
        return responses.StreamingResponse(
            self.generate(run, offset), media_type="text/event-stream"
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Free a run."""
        run = self.kept.get(request.path_params["run_id"])
        if run is not None:
            self.finish(run, "cancelled")
        return responses.JSONResponse({})

    async def generate(
        self, run: Run, offset: int
    ) -> typing.AsyncIterator[str]:
        """Yield the answer's tokens and the closing report."""
        self.readers += 1
        run.reader = reader = self.readers
        late_s = self.faults.get("late_ms", 0) / 1000
        try:
            await trio.sleep(max(0, run.begun + late_s - time.monotonic()))
            for index in range(offset, len(run.words)):
                await self.make_token(index)
                if run.reader != reader or run.state == "cancelled":
                    return
                if self.strikes("break", index):
                    return
                if self.strikes("silent", index):
                    await serving.hang()
                run.made = max(run.made, index + 1)
                word = run.words[index]
                text = word if index == 0 else f" {word}"
                piece = json.dumps({"offset": index, "text": text})
                yield f"data: {piece}\n\n"
        finally:
            if run.reader == reader:
                run.reader = 0
                run.left_at = time.monotonic()
        self.finish(run, "done")
        yield f"data: {json.dumps(self.close(run))}\n\n"

    async def make_token(self, index: int) -> None:
        """Take the time of one token in a batch of this size."""
        slowdown = max(1.0, self.busy / BATCH)
        token_ms = self.faults.get("token_ms", self.token_ms)
        await trio.sleep(token_ms * slowdown / 1000)

    def strikes(self, fault: str, index: int) -> bool:
        """Whether a fault of streams bites at this token."""
        if self.faults.get(f"{fault}_after") != index:
            return False
        left = self.faults.get(f"{fault}_times")
        if left is not None:
            self.faults[f"{fault}_times"] = left - 1
        return left is None or left > 0

    def close(self, run: Run) -> dict:
        """The closing report of a run."""
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
        """The confidence an answer is reported with; hard tasks get less."""
        declared = self.faults.get("confidence", {})
        if version in declared:
            return float(declared[version])
        return 0.4 if "hard" in messages[-1]["content"] else 0.95

    async def report(self, request: requests.Request) -> responses.Response:
        """Report versions and load."""
        self.orders.settle()
        return responses.JSONResponse(
            {
                "versions": self.versions,
                "load": self.busy,
                "leaving": bool(self.faults.get("leaving")),
            }
        )

    async def list_runs(self, request: requests.Request) -> responses.Response:
        """Return every run, for the tests."""
        return responses.JSONResponse(self.runs)

    async def list_kept(self, request: requests.Request) -> responses.Response:
        """Return the state of every run, for the tests."""
        return responses.JSONResponse(
            [
                {"run_id": run_id, "state": run.state, "made": run.made}
                for run_id, run in self.kept.items()
            ]
        )


def main(port: int, name: str, versions: str, token_ms: float = 1.0) -> None:
    """Serve one endpoint on a loopback port; versions by commas."""
    engine = Engine(name, tuple(str(versions).split(",")), token_ms)
    routes = [
        routing.Route("/v1/runs", engine.run, methods=["POST"]),
        routing.Route("/v1/runs/{run_id}", engine.resume, methods=["GET"]),
        routing.Route("/v1/runs/{run_id}", engine.cancel, methods=["DELETE"]),
        routing.Route("/kept", engine.list_kept),
        routing.Route("/report", engine.report),
        routing.Route("/runs", engine.list_runs),
        *engine.orders.make_routes(),
    ]
    serving.serve(routes, engine.faults, port)


if __name__ == "__main__":
    fire.Fire(main)
