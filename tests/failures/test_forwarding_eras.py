"""The store comes back from a copy that lacks the last seconds."""

import trio

from tests.common import forwarding
from tests.standins import backend


def make_desks(count):
    return [backend.Backend(f"desk-{number}") for number in range(count)]


def list_revisions(made):
    """The revision in force at each entry VM."""
    return [d.board.table and d.board.table.revision for d in made.daemons]


def test_configuration_at_an_offset_given_out_again_is_taken():
    """An entry VM keeps the lost configuration for ever.

    Its position is the end of the new history as well, which holds another
    record there.
    """

    async def main():
        (desk,) = make_desks(1)
        async with forwarding.open_forwarding(desk, daemons=2) as made:
            made.store.era = 4
            made.store.save_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(2))
            await made.wait_for(lambda: list_revisions(made) == [2, 2])
            made.store.restore_copy()
            made.store.put("keyed.op", "config", forwarding.make_config(3))
            await made.wait_for(lambda: list_revisions(made) == [3, 3])

    trio.run(main)
