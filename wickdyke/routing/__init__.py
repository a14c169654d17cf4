"""The decisions of a front end: where functions are placed, which worker a request goes to, what is prewarmed.

The package does no I/O, reads no clock and depends only on the standard library. The host creates a `Router`, advances
its time, passes it inputs, and carries out the decisions that `decide` returns one by one. All times are milliseconds
on the host's monotonic clock.
"""
