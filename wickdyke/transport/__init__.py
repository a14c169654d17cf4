"""Sockets that several parts share: what waits to be written, and small servers of lines."""
