"""Write the settings reference from the settings' own schema.

``python -m chervilwheel.reference`` prints docs/operators/settings.md.
"""

import dataclasses
import typing

from chervilwheel import config
from chervilwheel import teampolicy

_HEAD = """# Settings reference

Made by `python -m chervilwheel.reference`; a test fails when it is stale.

`chervilwheel settings check FILE` checks a daemon's file offline. Unknown
keys are refused with the nearest known one.
"""


def page() -> str:
    """Write the whole page as Markdown."""
    lines = [_HEAD, "## The file of an instance", ""]
    lines += _tables(config.Settings, "")
    lines += ["## The document `teams/<team>/policy`", ""]
    lines += _rows(teampolicy.TeamPolicy)
    lines += ["", "## The document `teams/<team>/access`", ""]
    lines += _rows(config.TeamAccess)
    return "\n".join(lines) + "\n"


def _tables(kind: type, path: str) -> list[str]:
    hints = typing.get_type_hints(kind)
    lines = []
    for field in dataclasses.fields(kind):
        inner = _inner(hints[field.name])
        if inner is None:
            continue
        is_list = typing.get_origin(hints[field.name]) is list
        name = f"{path}{field.name}"
        mark = f"[[{name}]]" if is_list else f"[{name}]"
        lines += [f"### `{mark}`", "", field.metadata["doc"], ""]
        lines += _rows(inner)
        lines.append("")
        lines += _tables(inner, f"{name}.")
    return lines


def _rows(kind: type) -> list[str]:
    hints = typing.get_type_hints(kind)
    lines = ["| key | default | unit | allowed | |", "|---|---|---|---|---|"]
    for field in dataclasses.fields(kind):
        if _inner(hints[field.name]) is not None:
            continue
        meta = field.metadata
        cells = [
            f"`{field.name}`",
            _default(field),
            meta["unit"],
            _allowed(meta),
            meta["doc"],
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _inner(hint: typing.Any) -> type | None:
    if typing.get_origin(hint) is list:
        hint = typing.get_args(hint)[0]
    return hint if dataclasses.is_dataclass(hint) else None


def _default(field: dataclasses.Field) -> str:
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!r}`"
    if field.default_factory is not dataclasses.MISSING:
        return f"`{field.default_factory()!r}`"
    return "required"


def _allowed(meta: typing.Mapping[str, typing.Any]) -> str:
    if meta["choices"]:
        return ", ".join(meta["choices"])
    if meta["low"] is not None:
        return f"{meta['low']:g} to {meta['high']:g}"
    if meta["pattern"]:
        return "`" + meta["pattern"].replace("|", "\\|") + "`"
    return ""


if __name__ == "__main__":
    print(page(), end="")
