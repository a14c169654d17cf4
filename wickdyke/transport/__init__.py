"""Sockets as all programs use them: event loop, timers, write buffer, listeners, termination by signal."""
