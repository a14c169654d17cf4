"""Every decision of a front end: where functions are placed, which worker a request goes to, what is prewarmed.

Nothing here does I/O, reads a clock or imports anything but the standard library. The host makes a `Router`, advances
its time, tells it what happened, and carries out the decisions it asks for one by one (`decide`). All times are
milliseconds of the host's monotonic clock.
"""
