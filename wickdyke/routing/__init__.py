"""Every decision of a front end: where functions are placed, which worker a request goes to, what is prewarmed.

Nothing here does I/O, reads a clock or imports anything but the standard library. The host makes a `Router`, advances
its time, passes it inputs, and takes its decisions one by one (`decide`) to carry them out. All times are milliseconds
of the host's monotonic clock.
"""
