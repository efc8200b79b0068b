"""What the commands share: settings, clients, output and exits."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import os
from typing import Any

import click
from expression import Error
from expression import Ok
from expression import Result
import msgspec
import tabulate

from ibispitch.admin import AdminClient
from ibispitch.admin import ApiError
from ibispitch.admin import HttpEditor
from ibispitch.admin.answers import datacentres_answer
from ibispitch.admin.answers import DatacentresAnswer
from ibispitch.admin.answers import entries_answer
from ibispitch.admin.answers import EntriesAnswer
from ibispitch.admin.errors import from_edit_error
from ibispitch.catalogue.editor import AcceptedEdit
from ibispitch.catalogue.editor import Actor
from ibispitch.catalogue.editor import CatalogueEditor
from ibispitch.catalogue.editor import read_catalogue
from ibispitch.catalogue.errors import EditError
from ibispitch.ctl.exits import Exit
from ibispitch.ctl.exits import EXIT_BY_FAULT
from ibispitch.program import load_or_exit
from ibispitch.settings.programs import ControlSettings
from ibispitch.store import StoreClient

CONFIG_VARIABLE = 'IBISPITCHCTL_CONFIG'

Editor = CatalogueEditor | HttpEditor
EditAction = Callable[[Editor], Awaitable[Result]]


class Session:
    """One run of ``ibispitchctl``.

    Edits and entries go to the store, or through the administration API if
    the settings have a token.

    :param config: path of the settings, ``None`` if it was not given.
    :param output: ``table`` or ``json``.
    """

    def __init__(self, config: str | None, output: str):
        self._config = config
        self.output = output
        self._settings: ControlSettings | None = None

    @property
    def settings(self) -> ControlSettings:
        """The settings; the first use loads and checks them."""
        if self._settings is None:
            path = self._config or os.environ.get(CONFIG_VARIABLE)
            if not path:
                raise click.UsageError(
                    f'no settings; give --config FILE or set {CONFIG_VARIABLE}'
                )
            self._settings = load_or_exit(path, ControlSettings)
        return self._settings

    def run(self, action: Awaitable[Result]) -> Any:
        """Run an action; print its error and exit, or return its value."""
        outcome = asyncio.run(action)
        return outcome.ok if outcome.is_ok() else self.fail(outcome.error)

    def fail(self, error: EditError | ApiError) -> None:
        """Print an error with its remedy and exit with its code."""
        if isinstance(error, EditError):
            error = from_edit_error(error)
        if self.output == 'json':
            click.echo(to_json({'error': error}), err=True)
        else:
            click.echo(f'Error: {printable(error.message)}', err=True)
            click.echo(f'Remedy: {printable(error.remedy)}', err=True)
        raise SystemExit(EXIT_BY_FAULT.get(error.fault, Exit.FAILED))

    def client(self) -> AdminClient:
        """Return a client of the administration API."""
        if not self.settings.admin_endpoints:
            raise click.UsageError(
                'no balancer to ask; set admin_endpoints in the settings'
            )
        return AdminClient(self.settings.admin_endpoints, self.settings.token)

    def edit(self, action: EditAction) -> None:
        """Make an edit and print what was accepted."""
        accepted = self.run(self._edit(action))
        self.show(accepted, lambda: _describe(accepted))

    async def _edit(self, action: EditAction) -> Result:
        if self.settings.token:
            async with self.client() as client:
                return await action(HttpEditor(client))
        async with self._store() as store:
            actor = Actor(self.settings.operator)
            cluster = self.settings.store.cluster
            return await action(CatalogueEditor(store, cluster, actor))

    def entries(self) -> EntriesAnswer:
        """Return the entries, or print an error and exit."""
        return self.run(self._catalogue(AdminClient.entries, entries_answer))

    def datacentres(self) -> DatacentresAnswer:
        """Return the data centres, or print an error and exit."""
        return self.run(
            self._catalogue(AdminClient.datacentres, datacentres_answer)
        )

    async def _catalogue(self, ask: Callable, convert: Callable) -> Result:
        if self.settings.token:
            async with self.client() as client:
                return await ask(client)
        async with self._store() as store:
            cluster = self.settings.store.cluster
            state = await read_catalogue(store, cluster)
        return Ok(convert(state.ok)) if state.is_ok() else Error(state.error)

    def _store(self) -> StoreClient:
        settings = self.settings.store
        return StoreClient(settings.endpoints, settings.timeout_s)

    def show(self, answer: Any, table: Callable[[], str]) -> None:
        """Print an answer in the chosen form."""
        click.echo(to_json(answer) if self.output == 'json' else table())


def to_json(value: Any) -> str:
    """Return indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def to_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table of plain text."""
    cells = [[printable(cell) for cell in row] for row in rows]
    return tabulate.tabulate(
        cells, headers, tablefmt='plain', disable_numparse=True
    )


def printable(value: Any) -> str:
    """Return text without control characters.

    Names come from other processes and could otherwise move the cursor.

    >>> printable('a' + chr(27) + '[2J')
    'a?[2J'
    """
    text = '-' if value is None else str(value)
    return ''.join(c if c.isprintable() else '?' for c in text)


def _describe(accepted: AcceptedEdit) -> str:
    if not accepted.changed:
        return f'{accepted.key} is so already, at version {accepted.version}'
    followed = ', and a later edit followed' if accepted.superseded else ''
    return (
        f'{accepted.key} is at version {accepted.version}{followed} '
        f'(edit {accepted.edit_id})'
    )
