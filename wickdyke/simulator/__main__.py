"""Reads batches of events from standard input and writes a reply to each to standard output."""

import gc
import os
import sys

from wickdyke.config.deployment_settings import InvalidInputError
from wickdyke.simulator.host import Host

# Hundreds of gateways keep so many objects that garbage collection takes a large part of the run time. Reference counts
# free nearly all objects; the few reference cycles can be collected less often than by default.
GC_THRESHOLDS = (100000, 50, 100)


def main() -> int:
    """Replies to batches until the input ends and returns the exit code.

    Returns 2, after one line on standard error, if the input is malformed; 1 if the replies are no longer read.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    # Universal newlines or replacement characters would hide a malformed line.
    input_stream = open(  # noqa: SIM115 - the descriptor stays open
        sys.stdin.fileno(), encoding="utf-8", newline="\n", errors="strict", closefd=False
    )
    output_stream = open(  # noqa: SIM115 - the descriptor stays open
        sys.stdout.fileno(), "w", encoding="utf-8", newline="\n", closefd=False
    )
    try:
        for reply in Host().replies(input_stream):
            output_stream.write(reply)
            output_stream.flush()
    except InvalidInputError as error:
        print(f"wickdyke.simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        # The simulator no longer reads the replies: there is nothing to report. Output goes to the null device, so that
        # closing the stream does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), output_stream.fileno())
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
