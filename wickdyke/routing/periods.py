"""How often the router reviews its state."""

TICK = 50.0  # ms between reviews of waiting requests
PERIOD = 500.0  # ms between placements of a cell
