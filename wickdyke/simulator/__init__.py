"""The simulator adapter: hosts routers on the simulator's wire. It translates and decides nothing."""
