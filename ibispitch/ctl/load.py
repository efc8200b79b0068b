"""The command that summarises the load in log lines."""

from itertools import chain
from typing import TextIO

import click

from ibispitch.ctl.exits import Exit
from ibispitch.ctl.options import examples
from ibispitch.ctl.options import output_option
from ibispitch.ctl.session import Session
from ibispitch.ctl.session import to_table
from ibispitch.loadreport import LoadReport
from ibispitch.loadreport import report_load
from ibispitch.story import read_lines


@click.command(
    epilog=examples(
        'ibispitchctl load balancer.log agent.log',
        'cat *.log | ibispitchctl load --output json',
    )
)
@click.argument('files', type=click.File('r'), nargs=-1)
@output_option
@click.pass_obj
def load(session: Session, files: tuple[TextIO, ...]) -> None:
    """Print who waits, who was refused, where work goes and what is scarce.

    Without FILES the log lines are read from standard input. Counts by
    service, data centre and kind lack the lines that the processes left out.
    """
    streams = files or (click.get_text_stream('stdin'),)
    lines = read_lines(chain.from_iterable(streams))
    if not lines:
        click.echo(
            'no log line; give the logs of all balancers and agents', err=True
        )
        raise SystemExit(Exit.NOT_FOUND)
    report = report_load(lines)
    session.show(_to_document(report), lambda: _to_text(report))


def _to_document(report: LoadReport) -> dict:
    return {
        'waiting': [
            row.group._asdict()
            | {k: v for k, v in row._asdict().items() if k != 'group'}
            for row in report.waiting
        ],
        'spread': [row._asdict() for row in report.spreads],
        'seconds': [row._asdict() for row in report.seconds],
        'events': [row._asdict() for row in report.events],
        'left_out': report.left_out,
    }


def _counts(count_by_name: dict[str, int]) -> str:
    return ', '.join(f'{name}: {n}' for name, n in count_by_name.items())


def _to_text(report: LoadReport) -> str:
    waiting = to_table(
        ['SERVICE', 'DATA CENTRE', 'KIND', 'WAITED', 'HELD', 'LATE',
         'EXPIRED', 'LONGEST MS', 'REFUSED'],
        [[*row.group, row.openings, row.held, row.late, row.expired,
          row.longest_ms, _counts(row.refused)] for row in report.waiting],
    )  # fmt: skip
    spreads = to_table(
        ['SERVICE', 'DATA CENTRE', 'OPENINGS', 'AGENTS', 'BUSIEST',
         'OVER MEAN'],
        [list(row) for row in report.spreads],
    )  # fmt: skip
    start = min((second.time for second in report.seconds), default=0)
    seconds = to_table(
        ['SECOND', 'SERVICE', 'SCARCE'],
        [
            [row.time - start, row.service, _counts(row.count_by_constraint)]
            for row in report.seconds
        ],
    )
    parts = [waiting, spreads, seconds]
    if report.left_out:
        by_event = {e.event: e.left_out for e in report.events if e.left_out}
        parts.append(
            f'{report.left_out} lines were left out by the rate limit of the'
            ' log, so the counts above are too low.\n'
            f'Left out: {_counts(by_event)}'
        )
    return '\n\n'.join(parts)
