"""Code shared by the long-running programs.

It covers the command line, the check of the settings, signals and the event
loop. SIGTERM or a first SIGINT requests a graceful stop; a second SIGINT
stops the program at once.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import sys
from typing import Any

import click

import ibispitch
from ibispitch.settings.loader import load_settings

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_INTERRUPTED = 130
CHECK_INTERVAL_S = 0.5


class StopRequest:
    """Waits for a signal that requests a graceful stop."""

    def __init__(self):
        self._event = asyncio.Event()
        self._interrupts = 0

    def install(self) -> None:
        """Handle SIGTERM and SIGINT in the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._event.set)
        loop.add_signal_handler(signal.SIGINT, self._interrupt)

    def _interrupt(self) -> None:
        self._interrupts += 1
        if self._interrupts > 1:
            sys.stderr.write('interrupted twice; stopped at once\n')
            sys.stderr.flush()
            raise SystemExit(EXIT_INTERRUPTED)
        self._event.set()

    async def wait(self) -> None:
        """Wait until a stop is requested."""
        await self._event.wait()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; it is checked twice a second."""
    while not condition():
        await asyncio.sleep(CHECK_INTERVAL_S)


async def wait_for_first(*waits: Awaitable[Any]) -> None:
    """Wait until one of several awaitables ends, and cancel the others."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def load_or_exit(path: str, settings_type: type) -> Any:
    """Load a settings file.

    If it has a fault, print one line and exit with code 2.

    :param path: path of the file.
    :param settings_type: type of the settings.
    :returns: the settings.
    """
    result = load_settings(path, settings_type)
    if result.is_error():
        click.echo(str(result.error), err=True)
        raise SystemExit(EXIT_SETTINGS)
    return result.ok


def make_command(
    name: str,
    purpose: str,
    settings_type: type,
    run: Callable[[Any], Awaitable[None]],
) -> click.Group:
    """Return the command line of a program.

    :param name: name of the console script.
    :param purpose: first paragraph of the help text.
    :param settings_type: type of its settings.
    :param run: coroutine function that runs the program until it stops.
    """
    examples = (
        f'\b\nExamples:\n  {name} --config /etc/ibispitch/{name}.json\n'
        f'  {name} --config {name}.json check-config'
    )

    @click.group(
        name=name,
        invoke_without_command=True,
        help=f'{purpose}\n\n{examples}',
    )
    @click.option(
        '--config',
        required=True,
        metavar='FILE',
        help='Settings in JSON with comments.',
    )
    @click.version_option(ibispitch.__version__, prog_name=name)
    @click.pass_context
    def command(context: click.Context, config: str) -> None:
        settings = load_or_exit(config, settings_type)
        if context.invoked_subcommand is None:
            asyncio.run(run(settings))

    @command.command('check-config')
    @click.pass_context
    def check_config(context: click.Context) -> None:
        """Check the settings file and exit."""
        click.echo(f'{context.parent.params["config"]}: ok')

    return command
