"""Typed readers of expressions, which define the fields of a section with their units and defaults.

A reader takes the expression of one field, adds each error to the diagnostics and returns the value, or None if the
expression is invalid. `record` combines the readers of a section's fields into a reader of the section.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any, Generic, TypeVar

from wickdyke.config.sexpr import Atom, AtomKind, Diagnostic, Expression, InvalidConfigError, SourceLocation

T = TypeVar("T")


@dataclass(slots=True)
class Diagnostics:
    """Collects the errors of a file."""

    entries: list[Diagnostic] = field(default_factory=list)

    def add(self, location: SourceLocation, actual: str, expected: str, fix: str = "") -> None:
        """Reports one error."""
        self.entries.append(Diagnostic(location, actual, expected, fix))

    def raise_if_any(self) -> None:
        """Raises InvalidConfigError with all errors, if there are any."""
        if self.entries:
            raise InvalidConfigError(self.entries)


Reader = Callable[[Expression, Diagnostics], T | None]


def describe(item: Atom | Expression) -> str:
    """Returns the text that stands for an item in a message."""
    return f"({item.name} ...)" if isinstance(item, Expression) else item.text


def _describe_all(items: Sequence[Atom | Expression]) -> str:
    return " ".join(map(describe, items))


def _single_atom(expression: Expression, diagnostics: Diagnostics, kind: AtomKind, expected: str) -> Atom | None:
    """Returns the only item of the expression if it is an atom of that kind; else reports an error."""
    only = expression.items[0] if len(expression.items) == 1 else None
    if isinstance(only, Atom) and only.kind == kind:
        return only
    actual = f"({expression.name} {_describe_all(expression.items)})" if expression.items else f"({expression.name})"
    unquoted = kind == AtomKind.STRING and isinstance(only, Atom) and only.kind == AtomKind.WORD
    diagnostics.add(expression.location, actual, expected, f'write "{describe(only)}"' if only and unquoted else "")
    return None


# ---- quantities ----


@dataclass(slots=True, frozen=True)
class Quantity:
    """A kind of quantity: its name in messages, and the factor from each unit to the base unit (whose factor is 1)."""

    description: str
    units: dict[str, float]

    @property
    def base_unit(self) -> str:
        """The unit of the values that readers return."""
        return next(unit for unit, factor in self.units.items() if factor == 1.0)

    @property
    def unit_names(self) -> str:
        """All units, as listed in messages."""
        return ", ".join(self.units)


TIME = Quantity("a time", {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60000.0})
SIZE = Quantity("a size", {"MB": 1.0, "GB": 1024.0, "KB": 1 / 1024})


def _read_unit(quantity: Quantity, expression: Expression, amount: Atom, diagnostics: Diagnostics) -> str | None:
    """Returns the unit that follows the amount; returns None and reports an error if it is missing or unknown."""
    items = expression.items
    if len(items) == 1:
        diagnostics.add(
            amount.location,
            f"{amount.text} without a unit",
            f"{quantity.description} with its unit ({quantity.unit_names})",
            f"write {amount.text} {quantity.base_unit} if that unit is meant",
        )
        return None
    unit = items[1] if len(items) == 2 and isinstance(items[1], Atom) else None
    if unit is not None and unit.text in quantity.units:
        return unit.text
    unit_in_other_case = {name.lower(): name for name in quantity.units}.get(unit.text.lower() if unit else "")
    diagnostics.add(
        (unit or amount).location,
        f"the unit {_describe_all(items[1:])}",
        f"one of {quantity.unit_names}",
        f"write {unit_in_other_case}" if unit_in_other_case else "",
    )
    return None


def _quantity(quantity: Quantity, minimum: float, maximum: float) -> Reader[float]:
    """Returns a reader of a number with a unit, which converts it to the base unit."""

    def reader(expression: Expression, diagnostics: Diagnostics) -> float | None:
        first = expression.items[0] if expression.items else None
        if not isinstance(first, Atom) or first.kind != AtomKind.NUMBER:
            actual = f"({expression.name} {_describe_all(expression.items)})".replace(" )", ")")
            diagnostics.add(expression.location, actual, quantity.description)
            return None
        unit = _read_unit(quantity, expression, first, diagnostics)
        if unit is None:
            return None
        amount = float(first.value) * quantity.units[unit]
        if not minimum <= amount <= maximum:
            expected = f"{quantity.description} of {minimum:g} to {maximum:g} {quantity.base_unit}"
            diagnostics.add(first.location, f"{first.text} {unit}", expected)
            return None
        return amount

    return reader


def duration(minimum: float = 0.0, maximum: float = 3.6e6) -> Reader[float]:
    """Returns a reader of a duration, in ms."""
    return _quantity(TIME, minimum, maximum)


def size(minimum: float = 0.0, maximum: float = 1e9) -> Reader[float]:
    """Returns a reader of a size of memory or files, in MB."""
    return _quantity(SIZE, minimum, maximum)


# ---- plain values ----


def number(minimum: float, maximum: float) -> Reader[float]:
    """Returns a reader of a number without a unit."""

    def reader(expression: Expression, diagnostics: Diagnostics) -> float | None:
        expected = f"number of {minimum:g} to {maximum:g}"
        atom = _single_atom(expression, diagnostics, AtomKind.NUMBER, f"one {expected}")
        if atom is None:
            return None
        value = float(atom.value)
        if not minimum <= value <= maximum:
            diagnostics.add(atom.location, atom.text, f"a {expected}")
            return None
        return value

    return reader


def count(minimum: int, maximum: int) -> Reader[int]:
    """Returns a reader of an integer."""
    read_number = number(minimum, maximum)

    def reader(expression: Expression, diagnostics: Diagnostics) -> int | None:
        value = read_number(expression, diagnostics)
        if value is None:
            return None
        if value != int(value):
            item = expression.items[0]
            diagnostics.add(item.location, describe(item), "a whole number", f"write {round(value)}")
            return None
        return int(value)

    return reader


def text(expression: Expression, diagnostics: Diagnostics) -> str | None:
    """Reads a string in double quotes that is not empty."""
    atom = _single_atom(expression, diagnostics, AtomKind.STRING, "one string in double quotes")
    if atom is not None and not atom.value:
        diagnostics.add(atom.location, '""', "a string that is not empty")
        return None
    return None if atom is None else str(atom.value)


def choice(**choices: T) -> Reader[T]:
    """Returns a reader of one of these words (an underscore stands for a hyphen), which returns the word's value."""
    table = {word.replace("_", "-"): value for word, value in choices.items()}
    expected = "one of " + ", ".join(table)

    def reader(expression: Expression, diagnostics: Diagnostics) -> T | None:
        atom = _single_atom(expression, diagnostics, AtomKind.WORD, expected)
        if atom is None:
            return None
        if atom.text not in table:
            similar = get_close_matches(atom.text, table, 1)
            diagnostics.add(atom.location, atom.text, expected, f"write {similar[0]}" if similar else "")
            return None
        return table[atom.text]

    return reader


flag = choice(yes=True, no=False)


def word_list(expression: Expression, diagnostics: Diagnostics) -> tuple[str, ...] | None:
    """Reads words, each at most once; reports each invalid item and returns the others."""
    words: list[str] = []
    for item in expression.items:
        if not isinstance(item, Atom) or item.kind != AtomKind.WORD:
            diagnostics.add(item.location, describe(item), "a word")
        elif item.text in words:
            diagnostics.add(item.location, f"{item.text} a second time", "each word once")
        else:
            words.append(item.text)
    return tuple(words)


# ---- sections ----


@dataclass(slots=True, frozen=True)
class Required:
    """Marks a field that has no default."""


REQUIRED = Required()


@dataclass(slots=True, frozen=True)
class Field(Generic[T]):
    """A field of a section: its reader, its value where it is absent, and whether it may be repeated.

    The value of a `repeatable` field is a list, which is empty where the field is absent; without `absent` at least
    one is required. `parameter` is the name under which the value is passed to the section's builder, if it differs
    from the name of the field.
    """

    reader: Reader[T]
    absent: T | Required | None = REQUIRED
    repeatable: bool = False
    parameter: str = ""

    def default(self) -> T | Required | list[T] | None:
        """Returns the value where the field is absent."""
        return [] if self.repeatable and self.absent in (REQUIRED, None) else self.absent


class _RecordReader(Generic[T]):
    """The reader of a section; see `record`."""

    def __init__(self, build: Callable[..., T], named: bool, fields: dict[str, Field[Any]]) -> None:
        self.build = build
        self.named = named
        self.fields = fields

    def __call__(self, expression: Expression, diagnostics: Diagnostics) -> T | None:
        errors_before = len(diagnostics.entries)
        values: dict[str, Any] = {}
        items = list(expression.items)
        if self.named:
            self._read_name(expression, items, values, diagnostics)
        first_locations: dict[str, SourceLocation] = {}
        misspelt: set[str] = set()  # fields that are not reported as missing as well
        for item in items:
            if isinstance(item, Atom) or not item.name:
                diagnostics.add(item.location, describe(item), f"a field of {expression.name} in brackets")
                misspelt.add(describe(item))
            elif item.name not in self.fields:
                misspelt.update(self._report_unknown(item, expression.name, diagnostics))
            else:
                self._read_field(item, first_locations, values, diagnostics)
        self._add_defaults(expression, values, misspelt, diagnostics)
        if len(diagnostics.entries) > errors_before:
            return None
        arguments = {self._parameter(name): value for name, value in values.items()}
        return self.build(location=expression.location, **arguments)

    def _parameter(self, name: str) -> str:
        definition = self.fields.get(name)
        return definition.parameter if definition and definition.parameter else name.replace("-", "_")

    def _read_name(
        self,
        expression: Expression,
        items: list[Atom | Expression],
        values: dict[str, Any],
        diagnostics: Diagnostics,
    ) -> None:
        """Removes the name from the items and stores it in `values`; reports an error if there is none."""
        first = items.pop(0) if items and isinstance(items[0], Atom) else None
        if isinstance(first, Atom) and first.kind == AtomKind.STRING and first.value:
            values["name"] = str(first.value)
            return
        diagnostics.add(
            expression.location, f"({expression.name} ...) without a name", f'({expression.name} "NAME" ...)'
        )

    def _report_unknown(self, item: Expression, section: str, diagnostics: Diagnostics) -> list[str]:
        """Reports an unknown field; returns the most similar field name, if any, in a list."""
        similar = get_close_matches(item.name, self.fields, 1, 0.5)
        fix = f"did you mean {similar[0]}?" if similar else "known fields: " + ", ".join(self.fields)
        diagnostics.add(item.location, f"({item.name} ...)", f"a field of {section}", fix)
        return similar

    def _read_field(
        self,
        item: Expression,
        first_locations: dict[str, SourceLocation],
        values: dict[str, Any],
        diagnostics: Diagnostics,
    ) -> None:
        definition = self.fields[item.name]
        if item.name in first_locations and not definition.repeatable:
            fix = f"the first is on line {first_locations[item.name].line}"
            diagnostics.add(item.location, f"({item.name} ...) a second time", "it only once", fix)
            return
        first_locations[item.name] = item.location
        value = definition.reader(item, diagnostics)
        if definition.repeatable:
            values.setdefault(item.name, []).append(value)
        else:
            values[item.name] = value

    def _add_defaults(
        self, expression: Expression, values: dict[str, Any], misspelt: set[str], diagnostics: Diagnostics
    ) -> None:
        for name, definition in self.fields.items():
            if name in values:
                continue
            if definition.absent is REQUIRED and name not in misspelt:
                diagnostics.add(expression.location, f"({expression.name} ...) without {name}", f"({name} ...) in it")
            values[name] = definition.default()


def record(build: Callable[..., T], named: bool = False, **fields: Field[Any]) -> Reader[T]:
    """Returns a reader of a section with these fields (an underscore stands for a hyphen).

    If there is no error, `build` is called with the section's `location` and the value of each field. With `named`, a
    string must come first in the section and is passed as `name`. All errors are reported, each once.
    """
    return _RecordReader(build, named, {name.replace("_", "-"): definition for name, definition in fields.items()})


# ---- files ----


def single_expression(
    expressions: list[Expression], name: str, file: str, diagnostics: Diagnostics
) -> Expression | None:
    """Returns the only expression of a file, which must have that name; reports missing and further expressions."""
    matching = [expression for expression in expressions if expression.name == name]
    for expression in expressions:
        if expression.name != name:
            diagnostics.add(expression.location, describe(expression), f"({name} ...)")
    for expression in matching[1:]:
        diagnostics.add(expression.location, f"a second ({name} ...)", "one")
    if not matching and not diagnostics.entries:
        diagnostics.add(SourceLocation(file, 1, 1), "nothing", f"({name} ...)")
    return matching[0] if matching else None


def read_single(
    expressions: list[Expression], name: str, file: str, reader: Reader[T], diagnostics: Diagnostics
) -> T | None:
    """Returns the value of the only expression of a file, which must have that name; reports all errors."""
    expression = single_expression(expressions, name, file, diagnostics)
    return None if expression is None else reader(expression, diagnostics)


def required(value: T | None, diagnostics: Diagnostics) -> T:
    """Returns the value. Raises InvalidConfigError with all errors, if there are any."""
    diagnostics.raise_if_any()
    if value is None:
        raise AssertionError("a reader returned no value and reported no error")
    return value


def check_unique(
    names: Sequence[object], locations: list[SourceLocation], label: str, diagnostics: Diagnostics
) -> None:
    """Reports each repeated name; `label` is the kind of thing that has the names, for the message."""
    first_locations: dict[object, SourceLocation] = {}
    for name, location in zip(names, locations, strict=True):
        if name in first_locations:
            fix = f"the first is on line {first_locations[name].line}"
            diagnostics.add(location, f"{label} {name} a second time", "each name once", fix)
        first_locations.setdefault(name, location)
