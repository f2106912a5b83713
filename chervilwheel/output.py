"""How the command line shows what it got."""

import json
import sys
import typing

from rich import console
from rich import table


def show(
    body: typing.Any, *, as_json: bool, rows_at: str | None = None
) -> None:
    """Print a body as JSON, or as a table for people.

    :param rows_at: the key whose list becomes the table's rows
    """
    if as_json:
        print(json.dumps(body, indent=2))
        return
    screen = console.Console()
    rows = body.get(rows_at) if rows_at and isinstance(body, dict) else None
    if isinstance(rows, list):
        screen.print(_table(rows))
    elif isinstance(body, dict):
        screen.print(_pairs(body))
    else:
        print(body)


def complain(text: str, *, hint: str = "") -> None:
    """Print an error, and what to do about it, to standard error."""
    print(f"chervilwheel: {text}", file=sys.stderr)
    if hint:
        print(f"hint: {hint}", file=sys.stderr)


def _table(rows: list[dict[str, typing.Any]]) -> table.Table:
    grid = table.Table()
    names = list(rows[0]) if rows else ["nothing"]
    for name in names:
        grid.add_column(name, overflow="fold")
    for row in rows:
        grid.add_row(*[str(row.get(name, "")) for name in names])
    return grid


def _pairs(body: dict[str, typing.Any]) -> table.Table:
    grid = table.Table(show_header=False)
    for name, value in body.items():
        text = value if isinstance(value, str) else json.dumps(value)
        grid.add_row(name, text)
    return grid
