"""Reads batches from standard input and answers each on standard output."""

import gc
import os
import sys

from wickdyke.simulator.host import Host
from wickdyke.settings.terms import BadInput


def main() -> int:
    """Play until the input ends; 2 and one plain line on standard error where it is malformed."""
    # Danger: hundreds of front ends keep so many objects that walking them takes a good part of the time.
    # Nearly all go by their count; the few circles wait longer.
    gc.set_threshold(100000, 50, 100)
    # Universal newlines and replacement characters would both hide a malformed line.
    source = open(sys.stdin.fileno(), encoding="utf-8", newline="\n", errors="strict", closefd=False)
    sink = open(sys.stdout.fileno(), "w", encoding="utf-8", newline="\n", closefd=False)
    try:
        for reply in Host().replies(source):
            sink.write(reply)
            sink.flush()
    except BadInput as bad:
        print(f"wickdyke.simulator: {bad}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        # Nobody reads the replies any more: there is nothing left to do, nor to say.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sink.fileno())
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
