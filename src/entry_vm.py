"""Runs one entry VM on the users' platform."""

import gc


def main() -> None:
    """Import the program without garbage collection, then run it.

    What modules define is never garbage, but the collector would scan it
    again and again while they are imported, and at each full collection.
    """
    gc.disable()
    from carawayward.platform import entry

    gc.freeze()
    gc.enable()
    entry.main()


if __name__ == "__main__":
    main()
