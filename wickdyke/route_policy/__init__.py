"""The arithmetic of deadlines, attempts and second copies of a route. Pure: no I/O, no clock."""
