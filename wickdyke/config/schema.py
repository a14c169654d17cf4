"""Checks of forms against tables of fields: what a form may hold, in which units, and what holds if it is absent.

A reader takes the form of one field, notes each trouble and returns the value (or None where it is unusable).
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from wickdyke.config.sexpr import Atom, Diagnostic, Expression, InvalidConfigError, SourceLocation

SPANS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60000.0}
SIZES = {"MB": 1.0, "GB": 1024.0, "KB": 1 / 1024}
REQUIRED = object()


@dataclass(slots=True)
class Diagnostics:
    """The troubles noted so far."""

    entries: list[Diagnostic] = field(default_factory=list)

    def add(self, location: SourceLocation, found: str, expected: str, fix: str = "") -> None:
        """Notes one."""
        self.entries.append(Diagnostic(location, found, expected, fix))

    def raise_if_any(self) -> None:
        """Raises Unusable if there was any."""
        if self.entries:
            raise InvalidConfigError(self.entries)


Reader = Callable[[Expression, Diagnostics], Any]


def describe(item: Atom | Expression) -> str:
    """An item as a message names it."""
    return f"({item.name} ...)" if isinstance(item, Expression) else item.text


def _only(form: Expression, notes: Diagnostics, kind: str, expected: str) -> Atom | None:
    if len(form.items) == 1 and isinstance(form.items[0], Atom) and form.items[0].kind == kind:
        return form.items[0]
    found = " ".join(map(describe, form.items)) or "nothing"
    fix = (
        f'write "{form.items[0].text}"'
        if kind == "string"
        and len(form.items) == 1
        and isinstance(form.items[0], Atom)
        and form.items[0].kind == "word"
        else ""
    )
    notes.add(form.location, f"({form.name} {found})" if form.items else f"({form.name})", expected, fix)
    return None


def _quantity(units: dict[str, float], what: str, least: float, most: float) -> Reader:
    listed = ", ".join(units)

    def reader(form: Expression, notes: Diagnostics) -> float | None:
        items = form.items
        value = items[0] if items and isinstance(items[0], Atom) and items[0].kind == "number" else None
        if value is None:
            notes.add(form.location, f"({form.name} {' '.join(map(describe, items))})".replace(" )", ")"), what)
            return None
        unit = items[1] if len(items) == 2 and isinstance(items[1], Atom) else None
        if len(items) == 1:
            notes.add(
                value.location,
                f"{value.text} without a unit",
                f"{what} with its unit ({listed})",
                f"write {value.text} {next(u for u, f in units.items() if f == 1.0)} if that is what is meant",
            )
            return None
        if unit is None or unit.text not in units:
            close = {u.lower(): u for u in units}.get(str(getattr(unit, "text", "")).lower())
            notes.add(
                (unit or value).location,
                f"the unit {' '.join(map(describe, items[1:]))}",
                f"one of {listed}",
                f"write {close}" if close else "",
            )
            return None
        amount = value.value * units[unit.text]
        if not least <= amount <= most:
            notes.add(
                value.location,
                f"{value.text} {unit.text}",
                f"{what} of {least:g} to {most:g} " + next(u for u, f in units.items() if f == 1.0),
            )
            return None
        return amount

    return reader


def span(least: float = 0.0, most: float = 3.6e6) -> Reader:
    """A time, in ms."""
    return _quantity(SPANS, "a time", least, most)


def size(least: float = 0.0, most: float = 1e9) -> Reader:
    """A size, in MB."""
    return _quantity(SIZES, "a size", least, most)


def number(least: float, most: float) -> Reader:
    """A plain number."""

    def reader(form: Expression, notes: Diagnostics) -> float | None:
        atom = _only(form, notes, "number", f"one number of {least:g} to {most:g}")
        if atom is not None and not least <= atom.value <= most:
            notes.add(atom.location, atom.text, f"a number of {least:g} to {most:g}")
            return None
        return None if atom is None else atom.value

    return reader


def count(least: int, most: int) -> Reader:
    """A whole number."""
    plain = number(least, most)

    def reader(form: Expression, notes: Diagnostics) -> int | None:
        value = plain(form, notes)
        if value is not None and value != int(value):
            notes.add(form.items[0].location, form.items[0].text, "a whole number", f"write {round(value)}")
            return None
        return None if value is None else int(value)

    return reader


def text(form: Expression, notes: Diagnostics) -> str | None:
    """A string in double quotes that is not empty."""
    atom = _only(form, notes, "string", "one string in double quotes")
    if atom is not None and not atom.value:
        notes.add(atom.location, '""', "a string that is not empty")
        return None
    return None if atom is None else str(atom.value)


def choice(**choices: Any) -> Reader:
    """One word of a few (an underscore stands for a hyphen)."""
    table = {word.replace("_", "-"): value for word, value in choices.items()}

    def reader(form: Expression, notes: Diagnostics) -> Any:
        atom = _only(form, notes, "word", "one of " + ", ".join(table))
        if atom is None:
            return None
        if atom.text not in table:
            near = get_close_matches(atom.text, table, 1)
            notes.add(atom.location, atom.text, "one of " + ", ".join(table), f"write {near[0]}" if near else "")
            return None
        return table[atom.text]

    return reader


flag = choice(yes=True, no=False)


def word_list(form: Expression, notes: Diagnostics) -> tuple[str, ...] | None:
    """Plain words, each once."""
    found: list[str] = []
    for item in form.items:
        if not isinstance(item, Atom) or item.kind != "word":
            notes.add(item.location, describe(item), "a word")
        elif item.text in found:
            notes.add(item.location, f"{item.text} a second time", "each word once")
        else:
            found.append(item.text)
    return tuple(found)


@dataclass(slots=True, frozen=True)
class Field:
    """A field of a form: how it is read, what holds where it is absent, whether it may stand several times."""

    reader: Reader
    absent: Any = REQUIRED
    many: bool = False


def record(build: Callable[..., Any], named: bool = False, **fields: Field) -> Reader:
    """A form of fields; `named` if a string comes first, given to `build` as `name`.

    All that is wrong is noted, each once; `build` is called only where nothing is.
    """
    table = {name.replace("_", "-"): f for name, f in fields.items()}

    def reader(form: Expression, notes: Diagnostics) -> Any:
        before, items, values = len(notes.entries), list(form.items), {}
        if named:
            first = items.pop(0) if items and isinstance(items[0], Atom) else None
            if first is None or first.kind != "string" or not first.value:
                notes.add(form.location, f"({form.name} without a name", f'({form.name} "NAME" ...)')
            else:
                values["name"] = str(first.value)
        seen: dict[str, SourceLocation] = {}
        excused: set[str] = set()
        for item in items:
            if isinstance(item, Atom) or not item.name:
                notes.add(item.location, describe(item), f"a field of {form.name} in brackets")
                excused.add(describe(item))  # else it would be said to be missing as well
                continue
            if item.name not in table:
                near = get_close_matches(item.name, table, 1, 0.5)
                notes.add(
                    item.location,
                    f"({item.name} ...)",
                    f"a field of {form.name}",
                    f"did you mean {near[0]}?" if near else "it knows " + ", ".join(table),
                )
                excused.update(near)
                continue
            known = table[item.name]
            if item.name in seen and not known.many:
                notes.add(
                    item.location,
                    f"({item.name} ...) a second time",
                    "it once",
                    f"the first stands in line {seen[item.name].line}",
                )
                continue
            seen[item.name] = item.location
            value = known.reader(item, notes)
            if known.many:
                values.setdefault(item.name, []).append(value)
            else:
                values[item.name] = value
        for name, known in table.items():
            if name not in seen:
                if known.absent is REQUIRED and name not in excused:
                    notes.add(form.location, f"({form.name} ...) without {name}", f"({name} ...) in it")
                values[name] = [] if known.many and known.absent in (REQUIRED, None) else known.absent
        if len(notes.entries) > before:
            return None
        return build(location=form.location, **{name.replace("-", "_"): value for name, value in values.items()})

    return reader


def single_expression(forms: list[Expression], name: str, file: str, notes: Diagnostics) -> Expression | None:
    """The one form of that name that a file is to hold."""
    right = [form for form in forms if form.name == name]
    for form in forms:
        if form.name != name:
            notes.add(form.location, describe(form), f"({name} ...)")
    for form in right[1:]:
        notes.add(form.location, f"a second ({name} ...)", "one")
    if not right and not notes.entries:
        notes.add(SourceLocation(file, 1, 1), "nothing", f"({name} ...)")
    return right[0] if right else None


def check_unique(items: list, locations: list[SourceLocation], what: str, notes: Diagnostics) -> None:
    """Notes each name that stands twice."""
    first: dict[object, SourceLocation] = {}
    for name, location in zip(items, locations, strict=True):
        if name in first:
            notes.add(
                location, f"{what} {name} a second time", "each once", f"the first stands in line {first[name].line}"
            )
        first.setdefault(name, location)
