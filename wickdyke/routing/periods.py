"""Intervals of the router's periodic work."""

TICK_INTERVAL = 50.0  # ms between ticks, at which waiting requests are dispatched again
PLACEMENT_PERIOD = 500.0  # ms between placements of a cell
