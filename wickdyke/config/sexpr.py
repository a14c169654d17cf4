"""S-expressions read by a lark grammar that keeps line and column."""

from dataclasses import dataclass, field
from importlib import resources

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken


@dataclass(slots=True, frozen=True, order=True)
class SourceLocation:
    """A place in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Diagnostic:
    """One thing that is wrong: where, what was found, what was expected, and the likely fix."""

    location: SourceLocation
    found: str
    expected: str
    fix: str = ""

    def __str__(self) -> str:
        return f"{self.location}: found {self.found}, expected {self.expected}" + (f"; {self.fix}" if self.fix else "")


class InvalidConfigError(Exception):
    """A file that can't be used, with all that is wrong with it in the order of its lines."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        self.diagnostics = sorted(diagnostics, key=lambda t: t.location)
        super().__init__("\n".join(map(str, self.diagnostics)))


class IncompleteInputError(InvalidConfigError):
    """A file that can't be used now and can be in a while, as it stands."""


@dataclass(slots=True, frozen=True)
class Atom:
    """A number, a string or a word."""

    kind: str
    value: str | float
    text: str
    location: SourceLocation


@dataclass(slots=True, frozen=True)
class Expression:
    """`(name item ...)`; `name` is empty where the first item is no word."""

    name: str
    items: list["Atom | Expression"] = field(default_factory=list)
    location: SourceLocation = SourceLocation("", 1, 1)


_grammar = Lark(
    resources.files(__package__).joinpath("sexpr.lark").read_text(),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=False,
)
_ESCAPES = {'\\"': '"', "\\\\": "\\", "\\n": "\n"}


def _string(text: str) -> str:
    out, at, body = [], 0, text[1:-1]
    while at < len(body):
        step = 2 if body[at] == "\\" else 1
        out.append(_ESCAPES.get(body[at : at + step], body[at : at + step]))
        at += step
    return "".join(out)


def _atom(token: Token, file: str) -> Atom:
    location = SourceLocation(file, token.line, token.column)
    if token.type == "NUMBER":
        return Atom("number", float(token), str(token), location)
    if token.type == "STRING":
        return Atom("string", _string(token), str(token), location)
    return Atom("word", str(token), str(token), location)


def _form(tree, file: str) -> Expression:
    opening, *children = tree.children
    items = [_atom(c, file) if isinstance(c, Token) else _form(c, file) for c in children]
    location = SourceLocation(file, opening.line, opening.column)
    if items and isinstance(items[0], Atom) and items[0].kind == "word":
        return Expression(items[0].text, items[1:], location)
    return Expression("", items, location)


def format_expression(form: Expression) -> str:
    """A form as text that parses to the same."""
    items = [format_expression(item) if isinstance(item, Expression) else item.text for item in form.items]
    return "(" + " ".join([form.name, *items] if form.name else items) + ")"


def _unclosed(text: str) -> tuple[int, int]:
    """Line and column of the innermost bracket that is never closed."""
    open_at: list[tuple[int, int]] = []
    for number, line in enumerate(text.split("\n"), 1):
        quoted = skip = False
        for column, char in enumerate(line, 1):
            if skip:
                skip = False
            elif quoted:
                skip, quoted = char == "\\", char != '"'
            elif char == ";":
                break
            elif char == '"':
                quoted = True
            elif char == "(":
                open_at.append((number, column))
            elif char == ")" and open_at:
                open_at.pop()
    return open_at[-1] if open_at else (1, 1)


def parse(text: str, file: str) -> list[Expression]:
    """The forms of a text; raises Unusable with the one place where it stops being S-expressions."""
    try:
        return [_form(tree, file) for tree in _grammar.parse(text).children]
    except (UnexpectedEOF, UnexpectedToken) as bad:
        if isinstance(bad, UnexpectedEOF) or bad.token.type == "$END":
            line, column = _unclosed(text)
            raise InvalidConfigError(
                [Diagnostic(SourceLocation(file, line, column), "a bracket that is never closed", "a ) for each (")]
            ) from None
        found = f"{str(bad.token)!r}"
        expected = "( to open a form" if bad.token.type != "RPAR" else "no ) here: none is open"
        raise InvalidConfigError([Diagnostic(SourceLocation(file, bad.line, bad.column), found, expected)]) from None
    except UnexpectedCharacters as bad:
        found = repr(text[bad.pos_in_stream : bad.pos_in_stream + 1])
        what = (
            'a string that ends on its line, with \\" \\\\ and \\n as its only escapes'
            if found == "'\"'"
            else "( ) a number, a word or a string in double quotes"
        )
        raise InvalidConfigError([Diagnostic(SourceLocation(file, bad.line, bad.column), found, what)]) from None
    except UnexpectedInput as bad:
        raise InvalidConfigError(
            [Diagnostic(SourceLocation(file, bad.line, bad.column), "something else", "S-expressions")]
        ) from None
    except RecursionError:
        raise InvalidConfigError(
            [Diagnostic(SourceLocation(file, 1, 1), "forms nested too deep", "fewer than 100 levels")]
        ) from None


def read(path: str) -> list[Expression]:
    """The forms of a file; raises Unusable also where it can't be read."""
    try:
        with open(path, encoding="utf-8") as source:
            return parse(source.read(), path)
    except UnicodeDecodeError:
        raise InvalidConfigError(
            [Diagnostic(SourceLocation(path, 1, 1), "bytes that are not text", "UTF-8 text")]
        ) from None
    except OSError as bad:
        raise InvalidConfigError(
            [Diagnostic(SourceLocation(path, 1, 1), f"no readable file ({bad.strerror})", "a file of S-expressions")]
        ) from None
