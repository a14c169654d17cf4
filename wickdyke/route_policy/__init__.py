"""Route policies: the arithmetic of deadlines, attempts, retries and hedges. Pure: no I/O, no clock."""
