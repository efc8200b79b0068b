"""Commands for data centres."""

import click

from ibispitch.ctl.options import examples
from ibispitch.ctl.options import output_option
from ibispitch.ctl.options import version_option
from ibispitch.ctl.session import Session
from ibispitch.ctl.session import to_table


@click.group(
    epilog=examples(
        'ibispitchctl datacentre out tema',
        'ibispitchctl datacentre in tema',
    )
)
def datacentre() -> None:
    """Take data centres out of service and return them."""


@datacentre.command()
@click.argument('name')
@version_option
@output_option
@click.pass_obj
def out(session: Session, name: str, expected: int | None) -> None:
    """Take a data centre out of service; flows that end there are given up."""
    session.edit(lambda editor: editor.take_out_of_service(name, expected))


@datacentre.command('in')
@click.argument('name')
@version_option
@output_option
@click.pass_obj
def return_to_service(
    session: Session, name: str, expected: int | None
) -> None:
    """Return a data centre to service; its agents start cold and ramp."""
    session.edit(lambda editor: editor.return_to_service(name, expected))


@datacentre.command('list')
@output_option
@click.pass_obj
def list_datacentres(session: Session) -> None:
    """List the data centres whose state has ever been set."""
    answer = session.datacentres()
    session.show(
        answer,
        lambda: to_table(
            ['DATA CENTRE', 'STATE', 'VERSION', 'OPERATOR', 'TIME'],
            [
                [
                    name,
                    known.state,
                    known.version,
                    known.edit.operator,
                    known.edit.time,
                ]
                for name, known in answer.datacentres.items()
            ],
        ),
    )
