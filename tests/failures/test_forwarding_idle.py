"""What an entry VM does while nothing happens."""

import collections

import trio

from tests.common import forwarding
from tests.standins import backend

ENTRY_VMS = 3
OBSERVED_S = 2.0
# Calls to the store that end, reports to peers, the checks of the members and
# of lost services; each takes a few steps.
MAX_STEPS_PER_S = 23.0


class StepCounter(trio.abc.Instrument):
    """Counts the steps of the product's tasks, by name."""

    def __init__(self):
        self.steps: collections.Counter[str] = collections.Counter()

    def before_task_step(self, task):
        """Count a step."""
        code = getattr(task.coro, "cr_code", None)
        if code is not None and "/carawayward/" in code.co_filename:
            self.steps[task.name] += 1


def test_idle_entry_vm_does_not_poll():
    """Many idle entry VMs would use their processor time for timers."""

    async def main():
        desk = backend.Backend("desk-0")
        async with forwarding.open_forwarding(desk, daemons=ENTRY_VMS):
            await trio.sleep(1.0)
            counter = StepCounter()
            trio.lowlevel.add_instrument(counter)
            await trio.sleep(OBSERVED_S)
            trio.lowlevel.remove_instrument(counter)
        steps_per_s = counter.steps.total() / OBSERVED_S / ENTRY_VMS
        assert steps_per_s < MAX_STEPS_PER_S, counter.steps

    trio.run(main)
