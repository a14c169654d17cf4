"""How often the router looks at what it holds."""

TICK = 50.0  # ms between looks at what waits
PERIOD = 500.0  # ms between placements of a cell
