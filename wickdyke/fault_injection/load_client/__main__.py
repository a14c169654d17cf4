"""Starts one load client: `python -m wickdyke.fault_injection.load_client PLAN`, PLAN as JSON."""

import os
import sys
import threading
import time

import msgspec

from wickdyke.fault_injection.load_client.client import LoadClient
from wickdyke.fault_injection.load_client.plan import LoadPlan, TrafficChange

CONNECT_TIME_S = 0.2  # time for connecting before the first request
PARENT_GONE_EXIT_CODE = 1


def follow_changes(client: LoadClient) -> None:
    """Applies traffic changes from standard input; exits at the end of input, which means that the parent has ended."""
    for line in sys.stdin:
        client.change_traffic(msgspec.json.decode(line, type=TrafficChange))
    os._exit(PARENT_GONE_EXIT_CODE)


def main() -> None:
    """Runs a load client until its plan is complete."""
    client = LoadClient(msgspec.json.decode(sys.argv[1], type=LoadPlan))
    threading.Thread(target=follow_changes, args=(client,), daemon=True).start()
    time.sleep(CONNECT_TIME_S)
    print("ready", flush=True)
    client.run()
    print("done", flush=True)
    os._exit(0)


if __name__ == "__main__":
    main()
