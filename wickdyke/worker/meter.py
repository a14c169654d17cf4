"""What processes really take: proportional set sizes from the kernel, in MB, by psutil."""

import psutil

MB = 1 << 20


def family(pid: int) -> float:
    """Of a process and all that it forked; 0 where it is gone."""
    try:
        process = psutil.Process(pid)
        return alone(pid) + sum(alone(child.pid) for child in process.children(recursive=True))
    except psutil.Error:
        return 0.0


def alone(pid: int) -> float:
    """Of one process: its own pages, and its part of those it shares."""
    try:
        return psutil.Process(pid).memory_full_info().pss / MB
    except psutil.Error:
        return 0.0
