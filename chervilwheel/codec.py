"""Encode typed messages with Cap'n Proto.

A message class is a ``NamedTuple``; the schema has a struct of the same
name with the same fields in camel case.
"""

import enum
import functools
import pathlib
import typing

import capnp

from chervilwheel import errors

SCHEMA_FOLDER = pathlib.Path(__file__).parent / "schema"
MAX_WORDS = 32 * 1024 * 1024
MAX_NESTING = 16

Convert = typing.Callable[[typing.Any], typing.Any]

_CONVERSION_ERRORS = (
    capnp.KjException,
    KeyError,
    TypeError,
    ValueError,
    UnicodeDecodeError,
)


class _Field(typing.NamedTuple):
    name: str
    wire_name: str
    to_wire: Convert | None
    from_wire: Convert | None


class Codec:
    """Encode and decode the messages of one schema.

    :param schema: file name of the schema
    :param root: the struct whose union holds the messages
    :param kinds: the message classes
    """

    def __init__(
        self,
        *,
        schema: str,
        root: str,
        kinds: typing.Sequence[type],
    ) -> None:
        module = capnp.load(str(SCHEMA_FOLDER / schema))
        self._root = getattr(module, root)
        self._names = {kind: _lower_first(kind.__name__) for kind in kinds}
        self._kinds = {name: kind for kind, name in self._names.items()}
        known = self._root.schema.union_fields
        for name in self._kinds:
            if name not in known:
                raise errors.ProtocolError(f"{schema} lacks {name}")

    def encode(self, message: typing.Any) -> bytes:
        """Encode a message.

        :raises errors.ProtocolError: when a field has the wrong type
        """
        name = self._names[type(message)]
        try:
            wire = _to_wire(type(message), message)
            return self._root.new_message(**{name: wire}).to_bytes()
        except _CONVERSION_ERRORS as exc:
            raise errors.ProtocolError(_first_line(exc)) from exc

    def decode(self, data: bytes) -> typing.Any:
        """Decode a message.

        :raises errors.ProtocolError: when the bytes are not a message
        """
        try:
            with self._root.from_bytes(
                data,
                traversal_limit_in_words=MAX_WORDS,
                nesting_limit=MAX_NESTING,
            ) as reader:
                name = reader.which()
                wire = getattr(reader, str(name)).to_dict()
            return _from_wire(self._kinds[str(name)], wire)
        except _CONVERSION_ERRORS as exc:
            raise errors.ProtocolError(_first_line(exc)) from exc


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


@functools.cache
def _fields(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    fields = []
    for name in kind._fields:
        to_wire, from_wire = _conversion(hints[name])
        fields.append(_Field(name, _camel(name), to_wire, from_wire))
    return tuple(fields)


def _conversion(hint: typing.Any) -> tuple[Convert | None, Convert | None]:
    hint = getattr(hint, "__supertype__", hint)
    if typing.get_origin(hint) is tuple:
        return _list_conversion(typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return (lambda value: value.value), hint
    if hasattr(hint, "_fields"):
        return (
            functools.partial(_to_wire, hint),
            functools.partial(_from_wire, hint),
        )
    return None, None


def _list_conversion(
    item: typing.Any,
) -> tuple[Convert, Convert]:
    to_wire, from_wire = _conversion(item)
    if to_wire is None or from_wire is None:
        return list, tuple
    return (
        lambda values: [to_wire(value) for value in values],
        lambda values: tuple([from_wire(value) for value in values]),
    )


def _to_wire(kind: type, message: typing.Any) -> dict[str, typing.Any]:
    return {
        field.wire_name: field.to_wire(value) if field.to_wire else value
        for field, value in zip(_fields(kind), message, strict=True)
    }


def _from_wire(kind: type, wire: dict[str, typing.Any]) -> typing.Any:
    return kind(
        *[
            field.from_wire(wire[field.wire_name])
            if field.from_wire
            else wire[field.wire_name]
            for field in _fields(kind)
        ]
    )


def _first_line(exc: Exception) -> str:
    text = str(exc).partition("\n")[0]
    return f"not a valid message: {type(exc).__name__} {text}"
