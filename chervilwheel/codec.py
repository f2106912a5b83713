"""Encode and decode typed messages with Cap'n Proto.

A message class is a ``NamedTuple``. The schema must have a struct with the
same name and the same fields in camel case. An integer field ``x`` whose type
has turned out too small has a second one, ``xWide``.
"""

import enum
import operator
import pathlib
import typing

import capnp

from chervilwheel import errors

SCHEMA_FOLDER = pathlib.Path(__file__).parent / "schema"
TRAVERSAL_LIMIT_WORDS = 32 * 1024 * 1024
NESTING_LIMIT = 16

Write = typing.Callable[[typing.Any, typing.Any], None]
Read = typing.Callable[[typing.Any], typing.Any]

_CODEC_ERRORS = (
    capnp.KjException,
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
FIRST_SEGMENT_WORDS = 64
WIDE_SUFFIX = "Wide"
# Largest values of the types that a wide field may complete.
_LARGEST = {"int32": 2**31 - 1, "uint32": 2**32 - 1}


class _Field(typing.NamedTuple):
    """The schema name of a field and the functions to access it."""

    wire_name: str
    write: Write
    read: Read


class Codec:
    """Encode and decode the messages of one schema.

    :param schema: the file name of the schema
    :param root: the struct whose union contains all messages
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
        self._names = {kind: _lowercase_first(kind.__name__) for kind in kinds}
        self._kinds = {name: kind for kind, name in self._names.items()}
        union_fields = self._root.schema.union_fields
        for name in self._kinds:
            if name not in union_fields:
                raise errors.ProtocolError(
                    f"{schema} has no union field {name}"
                )

    def encode(self, message: typing.Any) -> bytes:
        """Encode a message.

        :raises errors.EncodingError: if a value doesn't fit its field
        """
        name = self._names[type(message)]
        builder = self._root.new_message(
            num_first_segment_words=FIRST_SEGMENT_WORDS
        )
        try:
            _write(type(message), builder.init(name), message)
            return builder.to_bytes()
        except _CODEC_ERRORS as exc:
            raise errors.EncodingError(_describe_error(exc)) from exc

    def decode(self, data: bytes) -> typing.Any:
        """Decode a message.

        :raises errors.ProtocolError: if the data is not a valid message
        """
        try:
            with self._root.from_bytes(
                data,
                traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
                nesting_limit=NESTING_LIMIT,
            ) as reader:
                name = str(reader.which())
                return _read(self._kinds[name], getattr(reader, name))
        except _CODEC_ERRORS as exc:
            raise errors.ProtocolError(_describe_error(exc)) from exc


def _lowercase_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _to_camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _write(kind: type, builder: typing.Any, message: typing.Any) -> None:
    # Setting the fields one by one takes a tenth of the time of passing
    # the whole message to pycapnp as a mapping. Empty values are skipped
    # because they equal the defaults of the schema.
    fields = _FIELDS.get(kind) or _make_fields(kind, builder.schema)
    for field, value in zip(fields, message, strict=True):
        if value:
            field.write(builder, value)


def _read(kind: type, reader: typing.Any) -> typing.Any:
    fields = _FIELDS.get(kind) or _make_fields(kind, reader.schema)
    return kind(*[field.read(reader) for field in fields])


_FIELDS: dict[type, tuple[_Field, ...]] = {}


def _make_fields(kind: type, schema: typing.Any) -> tuple[_Field, ...]:
    """Return the fields of a message class, and keep them for later calls.

    :param schema: that of the struct of the same name
    """
    hints = typing.get_type_hints(kind)
    names = [(_to_camel_case(name), hints[name]) for name in kind._fields]
    _FIELDS[kind] = tuple(
        _Field(name, *_make_accessors(name, hint, schema))
        for name, hint in names
    )
    return _FIELDS[kind]


def _make_accessors(
    name: str, hint: typing.Any, schema: typing.Any
) -> tuple[Write, Read]:
    hint = getattr(hint, "__supertype__", hint)
    if name + WIDE_SUFFIX in schema.fieldnames:
        return _make_wide_accessors(name, schema)
    if typing.get_origin(hint) is tuple:
        return _make_list_accessors(name, typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return (
            lambda builder, value: setattr(builder, name, value.value),
            lambda reader: hint(getattr(reader, name)),
        )
    if hasattr(hint, "_fields"):
        return (
            lambda builder, value: _write(hint, builder.init(name), value),
            lambda reader: _read(hint, getattr(reader, name)),
        )
    return (
        lambda builder, value: setattr(builder, name, value),
        operator.attrgetter(name),
    )


def _make_wide_accessors(name: str, schema: typing.Any) -> tuple[Write, Read]:
    """Access an integer by two fields.

    The first one, which hosts of a former version read, has its largest value
    if the wide one is used.
    """
    wide_name = name + WIDE_SUFFIX
    limit = _LARGEST[str(schema.fields[name].proto.slot.type.which())]

    def write(builder: typing.Any, value: typing.Any) -> None:
        setattr(builder, name, min(value, limit))
        if value > limit:
            setattr(builder, wide_name, value)

    def read(reader: typing.Any) -> typing.Any:
        return getattr(reader, wide_name) or getattr(reader, name)

    return write, read


def _make_list_accessors(name: str, item: typing.Any) -> tuple[Write, Read]:
    item = getattr(item, "__supertype__", item)
    if not hasattr(item, "_fields"):
        return (
            lambda builder, values: setattr(builder, name, list(values)),
            lambda reader: tuple(getattr(reader, name)),
        )

    def write(builder: typing.Any, values: typing.Any) -> None:
        list_builder = builder.init(name, len(values))
        for index, value in enumerate(values):
            _write(item, list_builder[index], value)

    def read(reader: typing.Any) -> typing.Any:
        return tuple(
            [_read(item, element) for element in getattr(reader, name)]
        )

    return write, read


def _describe_error(exc: Exception) -> str:
    text = str(exc).partition("\n")[0]
    return f"not a valid message: {type(exc).__name__} {text}"
