"""Log output adapts to its reader and never blocks."""

import json
import logging
import os

from carawayward import log_output


class Reader:
    """A reader whose readiness and clock the test controls."""

    def __init__(self):
        self.ready = True
        self.received = b""
        self.now_s = 0.0

    def write(self, data):
        self.received += data[:1_000]
        return len(data[:1_000])

    def make_handler(self):
        return log_output.BoundedHandler(
            self.write, lambda: self.ready, lambda: self.now_s
        )


def emit(handler, count, level=logging.INFO, text='{"event": 1}'):
    for _ in range(count):
        record = logging.LogRecord("x", level, "", 0, text, None, None)
        handler.emit(record)


def test_lines_are_whole_json_with_a_time():
    """Tools parse the lines as JSON."""
    reader = Reader()
    emit(reader.make_handler(), 30)
    lines = [json.loads(line) for line in reader.received.splitlines()]
    assert len(lines) == 30
    assert all(line["event"] == 1 and line["at_ms"] > 0 for line in lines)


def test_stalled_reader_costs_lines_and_is_told_how_many():
    """The reader of standard output stalls for a while.

    The process continues. When the reader resumes, it gets the number of
    lines that were dropped and the oldest lines that were kept.
    """
    reader = Reader()
    handler = reader.make_handler()
    reader.ready = False
    for _ in range(5):
        reader.now_s += 10.0
        emit(handler, 900)
    assert len(handler.lines) == log_output.MAX_LINES
    reader.ready = True
    handler.flush()
    first = json.loads(reader.received.splitlines()[0])
    assert first == {"event": "lines_dropped", "count": 2_500}


def test_flood_of_usual_lines_does_not_hide_a_warning():
    """Under load thousands of lines a second are logged."""
    reader = Reader()
    handler = reader.make_handler()
    emit(handler, 5_000)
    emit(handler, 1, logging.WARNING, '{"event": 2}')
    assert b'"event": 2' in reader.received
    assert handler.dropped or b"lines_dropped" in reader.received


def test_pipe_that_nobody_reads_does_not_block():
    """Standard output is a pipe that fills up."""
    read_end, write_end = os.pipe()
    try:
        handler = log_output.BoundedHandler(
            lambda data: os.write(write_end, data),
            log_output.make_ready_check(write_end),
        )
        emit(handler, 900, text=json.dumps({"text": "x" * 300}))
        assert handler.lines
    finally:
        os.close(read_end)
        os.close(write_end)


def test_reader_that_is_gone_is_no_fault():
    """The reading end of the pipe is closed."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    handler = log_output.BoundedHandler(
        lambda data: os.write(write_end, data),
        log_output.make_ready_check(write_end),
    )
    emit(handler, 3)
    os.close(write_end)
    assert not handler.lines
