"""What an entry VM attests of a topic that it reads for others."""

import attrs


@attrs.frozen
class Attestation:
    """How far a topic was read; times in ms on one entry VM's boot clock.

    Nothing followed ``position`` at ``as_of_ms``. By ``due_ms`` the call
    ends that shows anew whether something does: a delegate for which that
    time has passed has lost the store, whatever it still attests.
    """

    position: int
    as_of_ms: float
    due_ms: float
