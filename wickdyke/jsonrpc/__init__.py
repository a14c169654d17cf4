"""The JSON-RPC gateway: clients and workers speak JSON-RPC over Unix sockets or loopback TCP."""
