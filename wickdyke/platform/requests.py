"""Validates the requests of clients. All data that reaches a worker is checked here."""

import re
from dataclasses import dataclass

from wickdyke.platform import thrift
from wickdyke.routing.model import RequestClass

ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII)
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
KEY_PATTERN = re.compile(r"[0-9A-Za-z_.:-]{1,64}", re.ASCII)
REPEAT_PATTERN = re.compile(r"[0-9]{1,9}|true|false", re.ASCII)
TAG_LIMITS = {"memory_mb": 1e7, "lanes": 4096.0, "load_ms": 3.6e6}
MAX_REQUEST_TIME = 3.6e6  # ms; limit of the time left and of the estimated work
MAX_QUOTED = 20  # characters of an invalid value that an error quotes
# The fields on the wire. c: class; i: id; d: ms that the client waits; o: function; tags: further numbers. Optional, by
# deployment: t: tenant; h: estimated ms of work; k: idempotency key; r: whether the request is a retry.
FIELDS = ("c", "i", "d", "o", "tags", "t", "h", "k", "r")


class InvalidRequestError(Exception):
    """A request is invalid; the message is sent to the client."""


@dataclass(slots=True)
class RequestParameters:
    """The parameters of a request: the function, its input and its resource needs. Times in ms, memory in MB."""

    ident: bytes
    function: str
    input: bytes | None
    memory_mb: float
    concurrency: int
    load_ms: float | None
    work_ms: float | None = None
    is_repeat: bool = False
    idempotency_key: str = ""


@dataclass(slots=True)
class CheckedRequest:
    """A validated request."""

    request_class: RequestClass
    parameters: RequestParameters
    time_left: float  # ms for which the client still waits


def _number(text: str, name: str, maximum: float) -> float:
    if not NUMBER_PATTERN.fullmatch(text) or not 0 < float(text) <= maximum:
        raise InvalidRequestError(f"{name} is {text[:MAX_QUOTED]!r}, expected a number of at most {maximum:g}")
    return float(text)


def _tags(text: str) -> dict[str, float]:
    """Parses the numbers in NAME:VALUE;NAME:VALUE. Raises InvalidRequestError."""
    numbers: dict[str, float] = {}
    for pair in filter(None, text.split(";")):
        name, _, value = pair.partition(":")
        if name not in TAG_LIMITS or name in numbers:
            raise InvalidRequestError(f"tag {name[:MAX_QUOTED]!r}, expected {', '.join(TAG_LIMITS)}, each once")
        numbers[name] = _number(value, name, TAG_LIMITS[name])
    return numbers


def _check_names(fields: dict[str, str], request_classes: dict[str, RequestClass]) -> RequestClass:
    """Checks the field names, the class and the ids; returns the class. Raises InvalidRequestError."""
    if unknown := fields.keys() - set(FIELDS):
        raise InvalidRequestError(f"field {min(unknown)[:MAX_QUOTED]!r}, expected {', '.join(FIELDS)}")
    if (request_class := request_classes.get(fields.get("c", ""))) is None:
        raise InvalidRequestError(f"c is {fields.get('c', '')[:MAX_QUOTED]!r}, expected a class")
    for name in "io":
        if not ID_PATTERN.fullmatch(fields.get(name, "")):
            raise InvalidRequestError(f"{name} is {fields.get(name, '')[:MAX_QUOTED]!r}, expected 16 hex digits")
    return request_class


def _check_optional(fields: dict[str, str], request_class: RequestClass, tenants: tuple[str, ...]) -> None:
    """Checks the tenant, the idempotency key and the retry flag. Raises InvalidRequestError."""
    if "t" in fields and tenants and fields["t"] not in tenants:
        raise InvalidRequestError(f"t is {fields['t'][:MAX_QUOTED]!r}, expected a tenant")
    if not KEY_PATTERN.fullmatch(fields.get("k", "" if request_class.effect == "tokened" else "-")):
        raise InvalidRequestError(f"k is {fields.get('k', '')[:MAX_QUOTED]!r}, expected a key of letters and digits")
    if not REPEAT_PATTERN.fullmatch(fields.get("r", "0")):
        raise InvalidRequestError(f"r is {fields['r'][:MAX_QUOTED]!r}, expected a number, true or false")


def check_request(
    message: thrift.Message, request_classes: dict[str, RequestClass], tenants: tuple[str, ...] = ()
) -> CheckedRequest:
    """Validates the fields of a request. Raises InvalidRequestError."""
    fields = message.fields
    request_class = _check_names(fields, request_classes)
    time_left = _number(fields.get("d", ""), "d", MAX_REQUEST_TIME)
    numbers = _tags(fields.get("tags", ""))
    _check_optional(fields, request_class, tenants)
    parameters = RequestParameters(
        ident=fields["i"].encode(),
        function=fields["o"],
        input=message.body,
        memory_mb=numbers.get("memory_mb", 0.0),
        concurrency=max(1, int(numbers.get("lanes", 1.0))),
        load_ms=numbers.get("load_ms"),
        work_ms=_number(fields["h"], "h", MAX_REQUEST_TIME) if "h" in fields else None,
        is_repeat=fields.get("r", "0") not in ("0", "false"),
        idempotency_key=fields.get("k", ""),
    )
    return CheckedRequest(request_class, parameters, time_left)
