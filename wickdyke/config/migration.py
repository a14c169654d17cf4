"""Conversion of a gateway's file for one shape of deployment to another: expressions in, expressions out.

The shape is a file of its own: `(shape ...)` with those fields of a gateway that differ there. Its fields take
precedence, all others are kept. What is lost or changed is reported with its location in the old file.
"""

from dataclasses import dataclass, field

from wickdyke.config.schema import Diagnostics, describe
from wickdyke.config.sexpr import Atom, AtomKind, Expression, format_expression

NAMED = ("zone", "kind", "method", "program", "tenant")  # may be repeated, each with its name
REPLACED_TOGETHER = ("zone", "kind", "tenant")  # if the shape states any of these, they are all there are
MERGED = ("call-outs", "stock", "warmup", "ration", "tariff", "method", "program")  # field by field


@dataclass(slots=True, frozen=True)
class FieldKey:
    """What identifies a field: the field's name and, if it may be repeated, the name that it states."""

    field: str
    name: str

    def __str__(self) -> str:
        return f"{self.field} {self.name}" if self.name else self.field


def _key(expression: Expression) -> FieldKey:
    first = expression.items[0] if expression.items and expression.name in NAMED else None
    named = isinstance(first, Atom) and first.kind == AtomKind.STRING
    return FieldKey(expression.name, str(first.value) if isinstance(first, Atom) and named else "")


@dataclass(slots=True)
class _Migration:
    """The fields of a shape that are not used yet, and the changes so far."""

    shape_fields: dict[FieldKey, Expression]
    changes: list[str] = field(default_factory=list)

    def counterpart(self, old: Expression, replaced: set[str]) -> Expression | None:
        """What stands in place of an old field; None if it has no counterpart."""
        new = self.shape_fields.pop(_key(old), None)
        if new is None:
            if old.name not in replaced:
                return old
            self.changes.append(f"{old.location}: {format_expression(old)} has no counterpart")
            return None
        if old.name in MERGED:
            return self._merge(old, new)
        self._report(old, new, "")
        return new

    def _merge(self, old: Expression, new: Expression) -> Expression:
        """The old field with the parts that the new one states."""
        new_parts = {part.name: part for part in new.items if isinstance(part, Expression)}
        parts: list[Atom | Expression] = []
        for part in old.items:
            new_part = new_parts.pop(part.name, None) if isinstance(part, Expression) else None
            if isinstance(part, Expression) and new_part is not None:
                self._report(part, new_part, f"{old.name}: ")
            parts.append(new_part or part)
        return Expression(old.name, [*parts, *new_parts.values()], old.location)

    def _report(self, old: Expression, new: Expression, context: str) -> None:
        old_text, new_text = format_expression(old), format_expression(new)
        if old_text != new_text:
            self.changes.append(f"{old.location}: {context}{old_text} became {new_text}")


def _shape_fields(shape: Expression, diagnostics: Diagnostics) -> dict[FieldKey, Expression]:
    fields: dict[FieldKey, Expression] = {}
    for item in shape.items:
        if not isinstance(item, Expression) or not item.name:
            diagnostics.add(item.location, describe(item), "a field of gateway in brackets")
        elif _key(item) in fields:
            diagnostics.add(item.location, f"({_key(item)} ...) a second time", "it once")
        else:
            fields[_key(item)] = item
    return fields


def migrate(old: Expression, shape: Expression, diagnostics: Diagnostics) -> tuple[Expression, list[str]]:
    """The counterpart of a `(gateway ...)`, and a line for each change and each field that was lost."""
    migration = _Migration(_shape_fields(shape, diagnostics))
    replaced = {key.field for key in migration.shape_fields} & set(REPLACED_TOGETHER)
    items: list[Atom | Expression] = []
    for item in old.items:
        new = migration.counterpart(item, replaced) if isinstance(item, Expression) else item
        if new is not None:
            items.append(new)
    return Expression(old.name, [*items, *migration.shape_fields.values()], old.location), migration.changes


def format_config(expression: Expression) -> str:
    """The text of a file: one field a line."""
    lines = [f"  {format_expression(item) if isinstance(item, Expression) else item.text}" for item in expression.items]
    return "\n".join([f"({expression.name}", *lines]) + ")\n"


def count_comments(source: str) -> int:
    """How many lines of a file have a comment; a migration drops comments."""
    return sum(1 for line in source.split("\n") if ";" in _without_strings(line))


def _without_strings(line: str) -> str:
    """A line without what is in double quotes."""
    characters: list[str] = []
    quoted = False
    escaped = False
    for character in line:
        if escaped:
            escaped = False
        elif quoted and character == "\\":
            escaped = True
        elif character == '"':
            quoted = not quoted
        elif not quoted:
            characters.append(character)
    return "".join(characters)
