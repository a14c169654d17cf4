"""How often the router reviews its state."""

TICK_INTERVAL = 50.0  # ms between reviews of waiting requests
PLACEMENT_PERIOD = 500.0  # ms between placements of a cell
