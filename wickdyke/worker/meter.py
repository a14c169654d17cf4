"""Measures the memory of processes as their proportional set size (PSS), in MB, with psutil."""

import psutil  # type: ignore[import-untyped]  # psutil has no type hints

MB = 1 << 20


def tree_memory(pid: int) -> float:
    """The MB of a process and all its descendants; 0 where the process has ended."""
    try:
        process = psutil.Process(pid)
        return process_memory(pid) + sum(process_memory(child.pid) for child in process.children(recursive=True))
    except psutil.Error:
        return 0.0


def process_memory(pid: int) -> float:
    """The MB of one process: its private pages and its part of shared pages; 0 where the process has ended."""
    try:
        return float(psutil.Process(pid).memory_full_info().pss / MB)
    except psutil.Error:
        return 0.0
