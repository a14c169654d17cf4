"""Socket I/O shared by all programs: event loop, timers, write buffers, listeners, termination by signal."""
