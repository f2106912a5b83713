"""Build frozen dataclasses from TOML tables and validate their values."""

import dataclasses
import difflib
import re
import sys
import types
import typing

from chervilwheel import errors

T = typing.TypeVar("T")

_TYPE_NAMES = {
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
    """Declare one setting: a dataclass field with its constraints.

    :param default: the value when the key is absent; without a default the
        key is required
    :param doc: one sentence for the settings reference
    :param unit: the unit of the value, for the reference
    :param low: the minimum of a number
    :param high: the maximum of a number
    :param pattern: a regular expression that a string must match in full
    :param choices: the allowed values
    """
    metadata = {
        "doc": doc,
        "unit": unit,
        "low": low,
        "high": high,
        "pattern": pattern,
        "choices": choices,
    }
    if isinstance(default, list | dict):
        container = type(default)
        return dataclasses.field(
            default_factory=lambda: container(default), metadata=metadata
        )
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def section(dataclass_type: type[T], *, doc: str) -> T:
    """Declare a nested table whose keys all have defaults."""
    return dataclasses.field(
        default_factory=dataclass_type, metadata={"doc": doc}
    )


def build(
    dataclass_type: type[T],
    table: typing.Mapping[str, typing.Any],
    *,
    source: str,
    path: str = "",
) -> T:
    """Validate a table and build a dataclass from it.

    :param dataclass_type: a dataclass with :func:`option` fields
    :param table: the parsed TOML
    :param source: the file or document, for error messages
    :param path: the dotted path of the table in the source
    :raises errors.InvalidSettings: when a key is unknown or missing, or a
        value violates its constraints; the message names the source, key,
        value and constraint
    """
    if not isinstance(table, dict):
        raise _error(source, path, f"{table!r} is not a table")
    hints = typing.get_type_hints(dataclass_type)
    fields = {
        field.name: field for field in dataclasses.fields(dataclass_type)
    }
    _reject_unknown_keys(table, list(fields), source, path)
    values = {}
    for name, field in fields.items():
        key_path = f"{path}.{name}" if path else name
        if name in table:
            values[name] = _convert(
                hints[name], table[name], field.metadata, source, key_path
            )
        elif _is_required(field):
            raise _error(source, key_path, "the required key is missing")
    return dataclass_type(**values)


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _reject_unknown_keys(
    table: typing.Mapping[str, typing.Any],
    allowed_keys: list[str],
    source: str,
    path: str,
) -> None:
    for name in table:
        if name in allowed_keys:
            continue
        closest = difflib.get_close_matches(
            name, allowed_keys, n=1, cutoff=0.0
        )
        suggestion = f"; did you mean {closest[0]!r}?" if closest else ""
        key_path = f"{path}.{name}" if path else name
        raise _error(source, key_path, f"unknown key{suggestion}")


def _convert(
    hint: typing.Any,
    value: typing.Any,
    metadata: typing.Mapping[str, typing.Any],
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
        return _convert_list(hint, value, metadata, source, path)
    if dataclasses.is_dataclass(hint):
        return build(hint, value, source=source, path=path)
    return _check_scalar(hint, value, metadata, source, path)


def _convert_list(
    hint: typing.Any,
    value: typing.Any,
    metadata: typing.Mapping[str, typing.Any],
    source: str,
    path: str,
) -> list[typing.Any]:
    if not isinstance(value, list):
        raise _error(source, path, f"{value!r} is not a list")
    element_hint = typing.get_args(hint)[0]
    return [
        _convert(element_hint, element, metadata, source, f"{path}[{index}]")
        for index, element in enumerate(value)
    ]


def _check_scalar(
    hint: typing.Any,
    value: typing.Any,
    metadata: typing.Mapping[str, typing.Any],
    source: str,
    path: str,
) -> typing.Any:
    hint = getattr(hint, "__supertype__", hint)
    if hint is float and type(value) is int:
        # An integer beyond the largest double stays one, and is rejected.
        value = float(value) if abs(value) <= sys.float_info.max else value
    if type(value) is not hint:
        expected = _TYPE_NAMES.get(hint, str(hint))
        raise _error(source, path, f"{value!r} is not {expected}")
    low, high = metadata.get("low"), metadata.get("high")
    if low is not None and value < low:
        raise _error(source, path, f"{value!r} is below the minimum {low}")
    if high is not None and value > high:
        raise _error(source, path, f"{value!r} is above the maximum {high}")
    choices = metadata.get("choices")
    if choices and value not in choices:
        allowed = ", ".join(choices)
        raise _error(source, path, f"{value!r} is not one of {allowed}")
    pattern = metadata.get("pattern")
    if pattern and not re.fullmatch(pattern, value):
        raise _error(
            source, path, f"{value!r} does not match the pattern {pattern}"
        )
    return value


def _error(source: str, path: str, text: str) -> errors.InvalidSettings:
    location = f" {path}:" if path else ""
    return errors.InvalidSettings(f"{source}:{location} {text}")
