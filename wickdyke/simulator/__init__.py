"""The simulator adapter: runs routers over the simulator's protocol. It translates messages and decides nothing."""
