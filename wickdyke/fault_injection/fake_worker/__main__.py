"""Starts one fake worker: `python -m wickdyke.fault_injection.fake_worker CONFIG`, CONFIG as JSON."""

import os
import sys

import msgspec

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.faults import FaultTrigger, parse_order
from wickdyke.fault_injection.fake_worker.transport import GatewayServer
from wickdyke.fault_injection.fake_worker.worker import FakeWorker


def main() -> None:
    """Runs a worker until standard input, which brings its orders to fail, ends."""
    worker = FakeWorker(msgspec.json.decode(sys.argv[1], type=FakeWorkerConfig))
    GatewayServer(worker)
    print("ready", flush=True)
    for line in sys.stdin:
        order = parse_order(line)
        if isinstance(order, FaultTrigger):
            worker.add_trigger(order)
        else:
            worker.apply_fault(order)
    os._exit(0)


if __name__ == "__main__":
    main()
