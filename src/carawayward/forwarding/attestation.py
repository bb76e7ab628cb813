"""What an entry VM attests about a topic that it reads for others."""

import attrs


@attrs.frozen
class Attestation:
    """How far a topic has been read; times in ms on one entry VM's boot clock.

    At ``as_of_ms`` the topic had no records from ``position`` on. The reader's
    current call to the store, which shows whether that still holds, ends by
    ``due_ms``. A delegate whose ``due_ms`` has passed has lost the store,
    even if it goes on sending reports.
    """

    position: int
    as_of_ms: float
    due_ms: float
