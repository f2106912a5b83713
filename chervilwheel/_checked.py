"""Build frozen dataclasses from TOML tables, refusing what is wrong."""

import dataclasses
import difflib
import re
import types
import typing

from chervilwheel import errors

T = typing.TypeVar("T")

_KIND_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


def option(
    default: typing.Any = dataclasses.MISSING,
    *,
    doc: str,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
    pattern: str = "",
    choices: tuple[str, ...] = (),
) -> typing.Any:
    """Describe one setting: a dataclass field with its bounds.

    :param default: the value when the key is absent; required without it
    :param doc: one sentence for the settings reference
    :param unit: the unit of the value, for the reference
    """
    meta = {
        "doc": doc,
        "unit": unit,
        "low": low,
        "high": high,
        "pattern": pattern,
        "choices": choices,
    }
    if isinstance(default, list | dict):
        kind = type(default)
        return dataclasses.field(
            default_factory=lambda: kind(default), metadata=meta
        )
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=meta)
    return dataclasses.field(default=default, metadata=meta)


def section(kind: type[T], *, doc: str) -> T:
    """Describe a nested table whose keys all have defaults."""
    return dataclasses.field(default_factory=kind, metadata={"doc": doc})


def build(
    kind: type[T],
    table: typing.Mapping[str, typing.Any],
    *,
    source: str,
    path: str = "",
) -> T:
    """Check a table and build the dataclass it describes.

    :param kind: a dataclass made with :func:`option` fields
    :param table: the parsed TOML
    :param source: the file or document, for messages
    :param path: where the table stands in the source
    :raises errors.InvalidSettings: naming source, key, value and what
        is allowed
    """
    if not isinstance(table, dict):
        raise _error(source, path, f"{table!r} is not a table")
    hints = typing.get_type_hints(kind)
    known = {field.name: field for field in dataclasses.fields(kind)}
    _refuse_unknown(table, list(known), source, path)
    values = {}
    for name, field in known.items():
        where = f"{path}.{name}" if path else name
        if name in table:
            values[name] = _value(
                hints[name], table[name], field.metadata, source, where
            )
        elif _is_required(field):
            raise _error(source, where, "the key is missing")
    return kind(**values)


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _refuse_unknown(
    table: typing.Mapping[str, typing.Any],
    known: list[str],
    source: str,
    path: str,
) -> None:
    for name in table:
        if name in known:
            continue
        near = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
        hint = f"; the nearest known key is {near[0]!r}" if near else ""
        where = f"{path}.{name}" if path else name
        raise _error(source, where, f"unknown key{hint}")


def _value(
    hint: typing.Any,
    value: typing.Any,
    meta: typing.Mapping[str, typing.Any],
    source: str,
    path: str,
) -> typing.Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        hint = next(
            arg for arg in typing.get_args(hint) if arg is not type(None)
        )
        origin = typing.get_origin(hint)
    if origin is list:
        return _list(hint, value, meta, source, path)
    if dataclasses.is_dataclass(hint):
        return build(hint, value, source=source, path=path)
    return _scalar(hint, value, meta, source, path)


def _list(
    hint: typing.Any,
    value: typing.Any,
    meta: typing.Mapping[str, typing.Any],
    source: str,
    path: str,
) -> list[typing.Any]:
    if not isinstance(value, list):
        raise _error(source, path, f"{value!r} is not a list")
    item = typing.get_args(hint)[0]
    return [
        _value(item, each, meta, source, f"{path}[{place}]")
        for place, each in enumerate(value)
    ]


def _scalar(
    hint: typing.Any,
    value: typing.Any,
    meta: typing.Mapping[str, typing.Any],
    source: str,
    path: str,
) -> typing.Any:
    hint = getattr(hint, "__supertype__", hint)
    if hint is float and type(value) is int:
        value = float(value)
    if type(value) is not hint:
        wanted = _KIND_NAMES.get(hint, str(hint))
        raise _error(source, path, f"{value!r} is not {wanted}")
    low, high = meta.get("low"), meta.get("high")
    if low is not None and value < low:
        raise _error(source, path, f"{value!r} is below {low}")
    if high is not None and value > high:
        raise _error(source, path, f"{value!r} is above {high}")
    choices = meta.get("choices")
    if choices and value not in choices:
        allowed = ", ".join(choices)
        raise _error(source, path, f"{value!r} is not one of {allowed}")
    pattern = meta.get("pattern")
    if pattern and not re.fullmatch(pattern, value):
        raise _error(source, path, f"{value!r} does not match {pattern}")
    return value


def _error(source: str, path: str, text: str) -> errors.InvalidSettings:
    where = f" {path}:" if path else ""
    return errors.InvalidSettings(f"{source}:{where} {text}")
