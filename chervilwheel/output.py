"""Printing of API responses and errors on the command line."""

import json
import sys
import typing

from rich import console
from rich import table

# Stands for null in tables.
NULL = "-"


def show(
    body: typing.Any, *, as_json: bool, rows_key: str | None = None
) -> None:
    """Print a response body as JSON or as a table.

    :param rows_key: the key whose list becomes the rows of the table
    """
    if as_json:
        print(json.dumps(body, indent=2))
        return
    terminal = console.Console()
    rows = body.get(rows_key) if rows_key and isinstance(body, dict) else None
    if isinstance(rows, list):
        terminal.print(_rows_table(rows))
    elif isinstance(body, dict):
        terminal.print(_fields_table(body))
    else:
        print(body)


def print_error(text: str, *, hint: str = "") -> None:
    """Print an error message, and optionally a hint, to standard error."""
    print(f"chervilwheel: {text}", file=sys.stderr)
    if hint:
        print(f"hint: {hint}", file=sys.stderr)


def _rows_table(rows: list[dict[str, typing.Any]]) -> table.Table:
    result = table.Table()
    columns = list(rows[0]) if rows else ["no rows"]
    for name in columns:
        result.add_column(name, overflow="fold")
    for row in rows:
        result.add_row(*[_cell(row.get(name, "")) for name in columns])
    return result


def _cell(value: typing.Any) -> str:
    return NULL if value is None else str(value)


def _fields_table(body: dict[str, typing.Any]) -> table.Table:
    result = table.Table(show_header=False)
    for name, value in body.items():
        text = value if isinstance(value, str) else json.dumps(value)
        result.add_row(name, text)
    return result
