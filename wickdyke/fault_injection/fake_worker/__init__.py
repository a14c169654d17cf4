"""A fake worker: it loads, queues, runs and reports as a worker does, and fails as it is ordered to.

Work is time slept, not CPU time. The input of an attempt states what it costs: {"mark": ..., "work_ms": ...,
"load_ms": ...}. All messages received and all results are written to a trace. Orders to fail arrive as JSON lines on
standard input. `python -m wickdyke.fault_injection.fake_worker CONFIG` starts one.
"""

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig

__all__ = ["FakeWorkerConfig"]
