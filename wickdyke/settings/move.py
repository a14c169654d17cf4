"""A gateway's file for one shape of deployment turned into its counterpart for another: forms in, forms out.

The shape is a file of its own: `(shape ...)` with the fields of a gateway that are different there. What it states
holds; all else is carried over. Whatever is lost or changed on the way is told, each with its place in the old file.
"""

from wickdyke.settings.check import Notes, shown
from wickdyke.settings.sexp import Atom, Form, written

NAMED = ("zone", "kind", "method", "program", "tenant")  # may stand several times, each under a name
WHOLE = ("zone", "kind", "tenant")  # of these, those that the shape states are all there are
MERGED = ("call-outs", "stock", "warmup", "ration", "tariff", "method", "program")  # field by field


def _name(form: Form) -> str:
    """The name of a form that has one: its first string."""
    first = form.items[0] if form.items else None
    return str(first.value) if isinstance(first, Atom) and first.kind == "string" else ""


def _key(form: Form) -> tuple[str, str]:
    return form.name, _name(form) if form.name in NAMED else ""


def _merged(old: Form, new: Form, told: list[str]) -> Form:
    """The old form with the fields that the new one states."""
    stated = {item.name: item for item in new.items if isinstance(item, Form)}
    kept = []
    for item in old.items:
        instead = stated.pop(item.name, None) if isinstance(item, Form) else None
        if instead is not None and written(instead) != written(item):
            told.append(f"{item.spot}: {old.name}: {written(item)} became {written(instead)}")
        kept.append(instead or item)
    return Form(old.name, [*kept, *stated.values()], old.spot)


def moved(old: Form, shape: Form, notes: Notes) -> tuple[Form, list[str]]:
    """The counterpart of a `(gateway ...)`, and what was changed or could not be carried over, a line each."""
    told: list[str] = []
    stated: dict[tuple[str, str], Form] = {}
    for item in shape.items:
        if not isinstance(item, Form) or not item.name:
            notes.add(item.spot, shown(item), "a field of gateway in brackets")
        elif _key(item) in stated:
            notes.add(item.spot, f"({' '.join(filter(None, _key(item)))} ...) a second time", "it once")
        else:
            stated[_key(item)] = item
    replaced = {name for name, _ in stated} & set(WHOLE)
    kept = []
    for item in old.items:
        if not isinstance(item, Form):
            kept.append(item)
            continue
        new = stated.pop(_key(item), None)
        if new is None and item.name in replaced:
            told.append(f"{item.spot}: {written(item)} has no counterpart")
        elif new is None:
            kept.append(item)
        elif item.name in MERGED:
            kept.append(_merged(item, new, told))
        else:
            if written(new) != written(item):
                told.append(f"{item.spot}: {written(item)} became {written(new)}")
            kept.append(new)
    return Form(old.name, [*kept, *stated.values()], old.spot), told


def text(form: Form) -> str:
    """A file's text: one field a line."""
    lines = [f"  {written(item) if isinstance(item, Form) else item.text}" for item in form.items]
    return "\n".join([f"({form.name}", *lines]) + ")\n"


def comments(source: str) -> int:
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
