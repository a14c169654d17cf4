"""The drill: plays the decisions on the simulator's wire. It translates and decides nothing."""
