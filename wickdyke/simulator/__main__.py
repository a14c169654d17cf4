"""Reads batches from standard input and answers each on standard output."""

import gc
import os
import sys

from wickdyke.config.deployment_settings import InvalidInputError
from wickdyke.simulator.host import Host

# Hundreds of gateways keep so many objects that collections take a good part of the time. Nearly all objects are freed
# by their reference counts; the few cycles can wait longer.
GC_THRESHOLDS = (100000, 50, 100)


def main() -> int:
    """Answers batches until the input ends; returns 2, after one line on standard error, where it is malformed."""
    gc.set_threshold(*GC_THRESHOLDS)
    # Universal newlines and replacement characters would both hide a malformed line.
    source = open(  # noqa: SIM115 - the descriptor stays open
        sys.stdin.fileno(), encoding="utf-8", newline="\n", errors="strict", closefd=False
    )
    sink = open(  # noqa: SIM115 - the descriptor stays open
        sys.stdout.fileno(), "w", encoding="utf-8", newline="\n", closefd=False
    )
    try:
        for reply in Host().replies(source):
            sink.write(reply)
            sink.flush()
    except InvalidInputError as error:
        print(f"wickdyke.simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        # The replies are no longer read: nothing is left to do or to report.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sink.fileno())
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
