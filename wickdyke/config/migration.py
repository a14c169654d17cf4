"""Converts the expressions of a gateway's file from one shape of deployment to another.

The new shape is a separate file: `(shape ...)` with the fields of a gateway that differ there. Its fields take
precedence over the old ones; all others are copied. Each change and loss is reported with its location in the old file.
"""

from dataclasses import dataclass, field

from wickdyke.config.schema import Diagnostics, describe
from wickdyke.config.sexpr import Atom, AtomKind, Expression, format_expression

NAMED_FIELDS = ("zone", "kind", "method", "program", "tenant")  # may be repeated, each with its own name
# If the shape states any field of these, it replaces all old ones of that field.
FIELDS_REPLACED_TOGETHER = ("zone", "kind", "tenant")
MERGED_FIELDS = ("call-outs", "stock", "warmup", "ration", "tariff", "method", "program")  # part by part


@dataclass(slots=True, frozen=True)
class FieldKey:
    """Identifies a field by the field's name and, if it may be repeated, by the name that it states."""

    field: str
    name: str

    def __str__(self) -> str:
        return f"{self.field} {self.name}" if self.name else self.field


def _field_key(expression: Expression) -> FieldKey:
    first = expression.items[0] if expression.items and expression.name in NAMED_FIELDS else None
    has_name = isinstance(first, Atom) and first.kind == AtomKind.STRING
    return FieldKey(expression.name, str(first.value) if isinstance(first, Atom) and has_name else "")


@dataclass(slots=True)
class _Migration:
    """The fields of the shape that have not been applied yet, and descriptions of the changes made."""

    shape_fields: dict[FieldKey, Expression]
    changes: list[str] = field(default_factory=list)

    def counterpart(self, old: Expression, replaced: set[str]) -> Expression | None:
        """Returns the field that replaces an old field; None if it has no counterpart."""
        new = self.shape_fields.pop(_field_key(old), None)
        if new is None:
            if old.name not in replaced:
                return old
            self.changes.append(f"{old.location}: {format_expression(old)} has no counterpart")
            return None
        if old.name in MERGED_FIELDS:
            return self._merge(old, new)
        self._report_change(old, new, "")
        return new

    def _merge(self, old: Expression, new: Expression) -> Expression:
        """Returns the old field with the parts of the new field in place of its own."""
        new_parts = {part.name: part for part in new.items if isinstance(part, Expression)}
        parts: list[Atom | Expression] = []
        for part in old.items:
            new_part = new_parts.pop(part.name, None) if isinstance(part, Expression) else None
            if isinstance(part, Expression) and new_part is not None:
                self._report_change(part, new_part, f"{old.name}: ")
            parts.append(new_part or part)
        return Expression(old.name, [*parts, *new_parts.values()], old.location)

    def _report_change(self, old: Expression, new: Expression, context: str) -> None:
        old_text, new_text = format_expression(old), format_expression(new)
        if old_text != new_text:
            self.changes.append(f"{old.location}: {context}{old_text} became {new_text}")


def _shape_fields(shape: Expression, diagnostics: Diagnostics) -> dict[FieldKey, Expression]:
    fields: dict[FieldKey, Expression] = {}
    for item in shape.items:
        if not isinstance(item, Expression) or not item.name:
            diagnostics.add(item.location, describe(item), "a field of gateway in brackets")
        elif _field_key(item) in fields:
            diagnostics.add(item.location, f"({_field_key(item)} ...) a second time", "it only once")
        else:
            fields[_field_key(item)] = item
    return fields


def migrate(old: Expression, shape: Expression, diagnostics: Diagnostics) -> tuple[Expression, list[str]]:
    """Returns the counterpart of a `(gateway ...)`, and a line for each changed or removed field."""
    migration = _Migration(_shape_fields(shape, diagnostics))
    replaced = {key.field for key in migration.shape_fields} & set(FIELDS_REPLACED_TOGETHER)
    items: list[Atom | Expression] = []
    for item in old.items:
        new = migration.counterpart(item, replaced) if isinstance(item, Expression) else item
        if new is not None:
            items.append(new)
    return Expression(old.name, [*items, *migration.shape_fields.values()], old.location), migration.changes


def format_config(expression: Expression) -> str:
    """Returns the text of a file, with one field per line."""
    lines = [f"  {format_expression(item) if isinstance(item, Expression) else item.text}" for item in expression.items]
    return "\n".join([f"({expression.name}", *lines]) + ")\n"


def count_comments(source: str) -> int:
    """Returns the number of lines with a comment, because a migration drops comments."""
    return sum(1 for line in source.split("\n") if ";" in _without_strings(line))


def _without_strings(line: str) -> str:
    """Returns a line without its strings in double quotes."""
    characters: list[str] = []
    in_string = False
    escaped = False
    for character in line:
        if escaped:
            escaped = False
        elif in_string and character == "\\":
            escaped = True
        elif character == '"':
            in_string = not in_string
        elif not in_string:
            characters.append(character)
    return "".join(characters)
