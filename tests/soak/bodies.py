"""Bodies of requests, which workers send back as the answer: any bytes, often with line ends, of any size."""

import random

MAX_BODY_SIZE = 16 * 1024  # bytes
MAX_LINES = 12
LINE_END = b"\r\n"
SIZES = (0, 1, 40, 400, 4000, MAX_BODY_SIZE)  # bytes; bodies without lines have one of these sizes


def body_of(ident: str) -> bytes:
    """Returns the body of the request with that id."""
    draw = random.Random(ident)
    if draw.random() < 0.3:
        return draw.randbytes(draw.choice(SIZES))
    lines = [draw.randbytes(draw.randrange(40)) for _ in range(draw.randint(1, MAX_LINES))]
    return LINE_END.join([ident.encode(), *lines]) + draw.choice((b"", LINE_END))
