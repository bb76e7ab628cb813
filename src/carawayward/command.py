"""Entry point of carawaywardctl, the operators' command-line tool."""

import sys
import typing

import fire

from carawayward import __version__
from carawayward.commands import bills
from carawayward.commands import declarations
from carawayward.commands import doctor
from carawayward.commands import explain
from carawayward.commands import inspect
from carawayward.commands import rollouts
from carawayward import errors

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


def main() -> None:
    """Run one command; exit with a code that scripts can tell apart."""
    commands = {
        "check": declarations.check,
        "diff": declarations.diff,
        "publish": declarations.publish,
        "rollback": declarations.rollback,
        "withdraw": declarations.withdraw,
        "rollouts": rollouts.rollouts,
        "halt": rollouts.halt,
        "resume": rollouts.resume,
        "show": declarations.show,
        "confirm": declarations.confirm,
        "bills": bills.bills,
        "billing": bills.COMMANDS,
        "digest": declarations.digest,
        "doctor": doctor.doctor,
        "explain": explain.explain_request,
        "check_settings": explain.check_settings,
        "status": inspect.status,
        "top": inspect.top,
        "histogram": inspect.histogram,
        "version": lambda: __version__,
    }
    try:
        fire.Fire(commands, name="carawaywardctl")
    except errors.PublishConflict as fault:
        _exit_with_error(fault, EXIT_CONFLICT)
    except (errors.PlatformUnavailable, errors.PublishUnknown) as fault:
        _exit_with_error(fault, EXIT_UNAVAILABLE)
    except errors.CarawaywardError as fault:
        _exit_with_error(fault, EXIT_REFUSED)


def _exit_with_error(fault: Exception, code: int) -> typing.NoReturn:
    """Print the error on standard error and exit."""
    print(fault, file=sys.stderr)
    raise SystemExit(code)


if __name__ == "__main__":
    main()
