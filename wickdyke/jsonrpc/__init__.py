"""The JSON-RPC gateway: its clients and workers use JSON-RPC over Unix sockets or loopback TCP."""
