"""A fake worker, which loads, queues, runs and reports as a worker does, and injects faults on command.

A unit of work takes time but no CPU. The input of an attempt states its costs: {"mark": ..., "work_ms": ...,
"load_ms": ...}. All received messages and all results are written to a trace. Fault commands arrive as JSON lines on
standard input. `python -m wickdyke.fault_injection.fake_worker CONFIG` starts one.
"""

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig

__all__ = ["FakeWorkerConfig"]
