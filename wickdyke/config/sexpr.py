"""Parser of S-expressions: a lark grammar whose trees are converted to expressions with their line and column."""

from dataclasses import dataclass, field
from enum import StrEnum
from importlib import resources
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken


class AtomKind(StrEnum):
    """The syntactic kind of an atom."""

    NUMBER = "number"
    STRING = "string"
    WORD = "word"


@dataclass(slots=True, frozen=True, order=True)
class SourceLocation:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


NO_LOCATION = SourceLocation("", 1, 1)  # of values that come from no file


@dataclass(slots=True, frozen=True)
class Diagnostic:
    """One error in a file: its location, the actual and the expected text, and the likely fix or ""."""

    location: SourceLocation
    actual: str
    expected: str
    fix: str = ""

    def __str__(self) -> str:
        message = f"{self.location}: found {self.actual}, expected {self.expected}"
        return f"{message}; {self.fix}" if self.fix else message


class InvalidConfigError(Exception):
    """A file is invalid; `diagnostics` lists all its errors, sorted by location."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        self.diagnostics = sorted(diagnostics, key=lambda diagnostic: diagnostic.location)
        super().__init__("\n".join(map(str, self.diagnostics)))


class IncompleteInputError(InvalidConfigError):
    """A file is invalid now, but becomes valid later without being changed."""


@dataclass(slots=True, frozen=True)
class Atom:
    """A number, a string or a word. `value` is a float for a number; `text` is its source text."""

    kind: AtomKind
    value: str | float
    text: str
    location: SourceLocation


@dataclass(slots=True, frozen=True)
class Expression:
    """`(name item ...)`; `name` is empty if the first item is not a word."""

    name: str
    items: list["Atom | Expression"] = field(default_factory=list)
    location: SourceLocation = NO_LOCATION


_grammar = Lark(
    resources.files(__package__).joinpath("sexpr.lark").read_text(),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=False,
)
_ESCAPES = {'\\"': '"', "\\\\": "\\", "\\n": "\n"}


def _unescape(text: str) -> str:
    """Returns the value of a string from its text in quotes."""
    body = text[1:-1]
    characters: list[str] = []
    position = 0
    while position < len(body):
        length = 2 if body[position] == "\\" else 1
        piece = body[position : position + length]
        characters.append(_ESCAPES.get(piece, piece))
        position += length
    return "".join(characters)


def quote(value: str) -> str:
    """Returns a string as text in double quotes that parses to the same value."""
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def _location(token: Token, file: str) -> SourceLocation:
    return SourceLocation(file, token.line or 1, token.column or 1)


def _atom(token: Token, file: str) -> Atom:
    location = _location(token, file)
    if token.type == "NUMBER":
        return Atom(AtomKind.NUMBER, float(token), str(token), location)
    if token.type == "STRING":
        return Atom(AtomKind.STRING, _unescape(token), str(token), location)
    return Atom(AtomKind.WORD, str(token), str(token), location)


def _expression(tree: Any, file: str) -> Expression:
    opening, *children = tree.children
    items = [_atom(child, file) if isinstance(child, Token) else _expression(child, file) for child in children]
    location = _location(opening, file)
    if items and isinstance(items[0], Atom) and items[0].kind == AtomKind.WORD:
        return Expression(items[0].text, items[1:], location)
    return Expression("", items, location)


def format_expression(expression: Expression) -> str:
    """Returns an expression as text that parses to the same expression."""
    items = [format_expression(item) if isinstance(item, Expression) else item.text for item in expression.items]
    return "(" + " ".join([expression.name, *items] if expression.name else items) + ")"


def _brackets(text: str) -> list[tuple[str, int, int]]:
    """Returns (bracket, line, column) of each bracket outside of strings and comments."""
    brackets: list[tuple[str, int, int]] = []
    for number, line in enumerate(text.split("\n"), 1):
        in_string = False
        escaped = False
        for column, character in enumerate(line, 1):
            if escaped:
                escaped = False
            elif in_string:
                escaped = character == "\\"
                in_string = character != '"'
            elif character == ";":
                break
            elif character == '"':
                in_string = True
            elif character in "()":
                brackets.append((character, number, column))
    return brackets


def _unclosed_bracket(text: str) -> tuple[int, int]:
    """Returns the line and column of the innermost bracket that is never closed; (1, 1) if there is none."""
    open_brackets: list[tuple[int, int]] = []
    for bracket, line, column in _brackets(text):
        if bracket == "(":
            open_brackets.append((line, column))
        elif open_brackets:
            open_brackets.pop()
    return open_brackets[-1] if open_brackets else (1, 1)


def _syntax_error(error: UnexpectedInput, text: str, file: str) -> Diagnostic:
    """Converts the parser's error to a diagnostic for the author of the file."""
    if isinstance(error, UnexpectedEOF) or (isinstance(error, UnexpectedToken) and error.token.type == "$END"):
        line, column = _unclosed_bracket(text)
        return Diagnostic(SourceLocation(file, line, column), "a bracket that is never closed", "a ) for each (")
    location = SourceLocation(file, error.line, error.column)
    if isinstance(error, UnexpectedToken):
        expected = "( to open an expression" if error.token.type != "RPAR" else "no ) here: no ( is open"
        return Diagnostic(location, f"{str(error.token)!r}", expected)
    if isinstance(error, UnexpectedCharacters):
        position = error.pos_in_stream or 0
        actual = repr(text[position : position + 1])
        expected = (
            'a string that ends on its line, with \\" \\\\ and \\n as its only escapes'
            if actual == "'\"'"
            else "( ) a number, a word or a string in double quotes"
        )
        return Diagnostic(location, actual, expected)
    return Diagnostic(location, "invalid syntax", "S-expressions")


def parse(text: str, file: str) -> list[Expression]:
    """Returns the expressions of a text.

    `file` is the name in locations. Raises InvalidConfigError with the location of the first syntax error.
    """
    try:
        return [_expression(tree, file) for tree in _parse_tree(text).children]
    except UnexpectedInput as error:
        raise InvalidConfigError([_syntax_error(error, text, file)]) from None
    except RecursionError:
        raise _invalid_file(file, "expressions nested too deep", "fewer than 100 levels") from None


def _parse_tree(text: str) -> Tree[Token]:
    return _grammar.parse(text)


def _invalid_file(path: str, actual: str, expected: str) -> InvalidConfigError:
    return InvalidConfigError([Diagnostic(SourceLocation(path, 1, 1), actual, expected)])


def read(path: str) -> list[Expression]:
    """Returns the expressions of a file. Raises InvalidConfigError, also if the file can't be read."""
    try:
        with open(path, encoding="utf-8") as source:
            return parse(source.read(), path)
    except UnicodeDecodeError:
        raise _invalid_file(path, "bytes that are not text", "UTF-8 text") from None
    except OSError as error:
        raise _invalid_file(path, f"no readable file ({error.strerror})", "a file of S-expressions") from None
