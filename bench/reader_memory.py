"""Measures the memory that readers of long answers take in an entry VM.

``./build.sh bench reader_memory`` runs one process for each row: a number of
clients ask for an answer of 3 MB, or a stream of events of 0.9 MB, and read it
slowly or never. ``--source`` names the sources of another revision.
"""

import functools
import pathlib
import sys

import fire
import trio

from tests.common import crowds
from tests.common import stopping

READERS = (1, 10, 20, 40, 80)
HELD_S = 4.0
SLOW_BYTES_PER_S = 2_000
SLOW_PAUSE_S = 0.5
KINDS = {
    "never read": (crowds.LONG, False),
    "read at 2 kB/s": (crowds.LONG, True),
    "not repeatable, read at 2 kB/s": (crowds.ONCE_LONG, True),
    "streams read at 2 kB/s": (crowds.LARGE_EVENTS, True),
}
RESULTS = pathlib.Path("bench/results/reader_memory.md")


async def measure(readers: int, path: str, reads: bool) -> str:
    """Return the peak in MB beside readers, and an ordinary request's end."""
    async with crowds.open_site() as site:
        clients = await site.send_crowd(readers, lambda: site.make_head(path))
        if reads:
            for each in clients:
                site.nursery.start_soon(
                    each.read_slowly, SLOW_BYTES_PER_S, SLOW_PAUSE_S
                )
        await trio.sleep(HELD_S)
        status = await site.ask_ordinary()
        vm = site.vms[0]
        usage = site.usage[vm.name]
        if vm.process.returncode is None:
            crowds.measure(vm.process.pid, usage)
    text = f"{usage.memory / 1e6:.0f}"
    return text if status == 200 else f"{text} (ordinary: {status})"


def main(source: str = str(stopping.SOURCE), write: bool = False) -> None:
    """Print a table; with ``write`` the results page is written."""
    stopping.SOURCE = pathlib.Path(source)
    lines = [
        f"| peak, MB | {' | '.join(f'{n} readers' for n in READERS)} |",
        f"|---|{'---|' * len(READERS)}",
    ]
    for name, (path, reads) in KINDS.items():
        found = [
            trio.run(functools.partial(measure, readers, path, reads))
            for readers in READERS
        ]
        lines.append(f"| {name} | {' | '.join(found)} |")
        print(lines[-1], file=sys.stderr)
    page = "\n".join(lines)
    print(page)
    if write:
        RESULTS.write_text(page + "\n", encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
