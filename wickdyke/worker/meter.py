"""The memory of processes: proportional set sizes (PSS) from the kernel, in MB, by psutil."""

import psutil  # type: ignore[import-untyped]  # it has no type hints

MB = 1 << 20


def tree_memory(pid: int) -> float:
    """MB of a process and all its descendants; 0 where it is gone."""
    try:
        process = psutil.Process(pid)
        return process_memory(pid) + sum(process_memory(child.pid) for child in process.children(recursive=True))
    except psutil.Error:
        return 0.0


def process_memory(pid: int) -> float:
    """MB of one process: its own pages and its part of those it shares; 0 where it is gone."""
    try:
        return float(psutil.Process(pid).memory_full_info().pss / MB)
    except psutil.Error:
        return 0.0
