"""Starts one fake worker: `python -m wickdyke.fault_injection.fake_worker CONFIG`, CONFIG as JSON."""

import os
import sys

import msgspec

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.faults import FaultTrigger, parse_command
from wickdyke.fault_injection.fake_worker.transport import GatewayServer
from wickdyke.fault_injection.fake_worker.worker import FakeWorker


def main() -> None:
    """Runs a worker until the end of standard input, from which it reads fault commands."""
    worker = FakeWorker(msgspec.json.decode(sys.argv[1], type=FakeWorkerConfig))
    GatewayServer(worker)
    print("ready", flush=True)
    for line in sys.stdin:
        command = parse_command(line)
        if isinstance(command, FaultTrigger):
            worker.add_trigger(command)
        else:
            worker.apply_fault(command)
    os._exit(0)


if __name__ == "__main__":
    main()
