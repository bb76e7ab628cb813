"""Runs one entry VM on the users' platform."""

import gc

from carawayward import early_signals


def main() -> None:
    """Handle signals, import the program without garbage collection, run it.

    What modules define is never garbage, but the collector would scan it
    again and again while they are imported, and at each full collection.
    """
    early_signals.install()
    gc.disable()
    from carawayward.platform import entry

    gc.freeze()
    gc.enable()
    entry.main()


if __name__ == "__main__":
    main()
