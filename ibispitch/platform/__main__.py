"""Command line of the platform: ``python -m ibispitch.platform ROLE``."""

import os
import signal
import sys

USAGE = (
    'usage: python -m ibispitch.platform balancer|agent'
    ' [--overload-settings PATH]\n'
)
OVERLOAD_OPTION = '--overload-settings'
EXIT_USAGE = 2


def _exit(_number, _frame) -> None:
    """Exit if the process is stopped while it starts and serves nothing.

    An exception here would be raised in whatever import runs. Initialisation
    of an extension module may swallow it and go on half initialised.
    """
    os._exit(0)


def _fail(text: str) -> None:
    sys.stderr.write(text)
    raise SystemExit(EXIT_USAGE)


def _parse(arguments: list[str]) -> tuple[str, str | None]:
    """Return the role and the path of the overload settings."""
    match arguments:
        case [role]:
            return role, None
        case [role, option, path] if option == OVERLOAD_OPTION:
            return role, path
        case [role, option] if option.startswith(f'{OVERLOAD_OPTION}='):
            return role, option.split('=', 1)[1]
    return '', None


def main() -> None:
    """Run the program for the role on the command line.

    The command line comes from the deploy file. ``click`` is not used: its
    import would lengthen the restart of an agent. For the same reason the
    reader of the overload settings is imported only if they are given.
    """
    # The imports below take some tenths of a second; the program installs
    # its own signal handlers after them. It reads the settings after them as
    # well, so that a signal to read them again needs no action before.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)
    role, overload_path = _parse(sys.argv[1:])
    if role == 'balancer':
        from ibispitch.platform.balancer import Balancer as Program
    elif role == 'agent':
        from ibispitch.platform.agent import Agent as Program
    else:
        _fail(USAGE)
    from ibispitch.platform.node import run_node
    from ibispitch.settings.overload import ALL_OFF

    overload = ALL_OFF
    if overload_path is not None:
        from ibispitch.settings.documents import SettingsFileError
        from ibispitch.settings.overload_file import load_overload_settings

        try:
            overload = load_overload_settings(overload_path)
        except SettingsFileError as fault:
            _fail(f'{fault}\n')
    run_node(lambda node: Program(node).run(), overload)


main()
