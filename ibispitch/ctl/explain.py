"""The command that explains what happened to a flow or request."""

from itertools import chain
from typing import TextIO

import click

from ibispitch.ctl.exits import Exit
from ibispitch.ctl.options import examples
from ibispitch.ctl.options import output_option
from ibispitch.ctl.session import Session
from ibispitch.ctl.session import to_table
from ibispitch.story import Line
from ibispitch.story import read_lines
from ibispitch.story import related_lines


@click.command(
    epilog=examples(
        'ibispitchctl explain 100.64.0.7:40001 balancer.log agent.log',
        'cat *.log | ibispitchctl explain 6f5b3c2a --output json',
    )
)
@click.argument('name')
@click.argument('files', type=click.File('r'), nargs=-1)
@output_option
@click.pass_obj
def explain(session: Session, name: str, files: tuple[TextIO, ...]) -> None:
    """Print what processes decided on a flow or request, in time order.

    NAME is a flow, its caller's address and port, or the id of a request.
    Without FILES the log lines are read from standard input.
    """
    sources = files or (click.get_text_stream('stdin'),)
    lines = related_lines(read_lines(chain.from_iterable(sources)), name)
    if not lines:
        click.echo(
            f'no line on {name}; give the logs of all balancers and agents',
            err=True,
        )
        raise SystemExit(Exit.NOT_FOUND)
    session.show(
        [line._asdict() for line in lines],
        lambda: to_table(
            ['SECONDS', 'PROCESS', 'EVENT', 'INPUTS'],
            [_row(line, lines[0].time) for line in lines],
        ),
    )


def _row(line: Line, start: float) -> list[str]:
    inputs = ' '.join(f'{key}={value}' for key, value in line.inputs.items())
    return [f'{line.time - start:.3f}', line.process, line.event, inputs]
