"""A gateway's file for one shape of deployment turned into its counterpart for another: forms in, forms out.

The shape is a file of its own: `(shape ...)` with the fields of a gateway that are different there. What it states
holds; all else is carried over. Whatever is lost or changed on the way is told, each with its place in the old file.
"""

from wickdyke.config.schema import Diagnostics, describe
from wickdyke.config.sexpr import Atom, Expression, format_expression

NAMED = ("zone", "kind", "method", "program", "tenant")  # may stand several times, each under a name
WHOLE = ("zone", "kind", "tenant")  # of these, those that the shape states are all there are
MERGED = ("call-outs", "stock", "warmup", "ration", "tariff", "method", "program")  # field by field


def _name(form: Expression) -> str:
    """The name of a form that has one: its first string."""
    first = form.items[0] if form.items else None
    return str(first.value) if isinstance(first, Atom) and first.kind == "string" else ""


def _key(form: Expression) -> tuple[str, str]:
    return form.name, _name(form) if form.name in NAMED else ""


def _merged(old: Expression, new: Expression, told: list[str]) -> Expression:
    """The old form with the fields that the new one states."""
    stated = {item.name: item for item in new.items if isinstance(item, Expression)}
    kept = []
    for item in old.items:
        instead = stated.pop(item.name, None) if isinstance(item, Expression) else None
        if instead is not None and format_expression(instead) != format_expression(item):
            told.append(f"{item.location}: {old.name}: {format_expression(item)} became {format_expression(instead)}")
        kept.append(instead or item)
    return Expression(old.name, [*kept, *stated.values()], old.location)


def migrate(old: Expression, shape: Expression, notes: Diagnostics) -> tuple[Expression, list[str]]:
    """The counterpart of a `(gateway ...)`, and what was changed or could not be carried over, a line each."""
    told: list[str] = []
    stated: dict[tuple[str, str], Expression] = {}
    for item in shape.items:
        if not isinstance(item, Expression) or not item.name:
            notes.add(item.location, describe(item), "a field of gateway in brackets")
        elif _key(item) in stated:
            notes.add(item.location, f"({' '.join(filter(None, _key(item)))} ...) a second time", "it once")
        else:
            stated[_key(item)] = item
    replaced = {name for name, _ in stated} & set(WHOLE)
    kept = []
    for item in old.items:
        if not isinstance(item, Expression):
            kept.append(item)
            continue
        new = stated.pop(_key(item), None)
        if new is None and item.name in replaced:
            told.append(f"{item.location}: {format_expression(item)} has no counterpart")
        elif new is None:
            kept.append(item)
        elif item.name in MERGED:
            kept.append(_merged(item, new, told))
        else:
            if format_expression(new) != format_expression(item):
                told.append(f"{item.location}: {format_expression(item)} became {format_expression(new)}")
            kept.append(new)
    return Expression(old.name, [*kept, *stated.values()], old.location), told


def format_config(form: Expression) -> str:
    """A file's text: one field a line."""
    lines = [f"  {format_expression(item) if isinstance(item, Expression) else item.text}" for item in form.items]
    return "\n".join([f"({form.name}", *lines]) + ")\n"


def count_comments(source: str) -> int:
    """How many lines have a comment: those are not carried over."""
    return sum(1 for line in source.split("\n") if ";" in _bare(line))


def _bare(line: str) -> str:
    out, quoted, skip = [], False, False
    for char in line:
        if skip:
            skip = False
        elif quoted and char == "\\":
            skip = True
        elif char == '"':
            quoted = not quoted
        elif not quoted:
            out.append(char)
    return "".join(out)
