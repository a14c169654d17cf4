"""The front end of the operators' platform: Thrift from clients, RESP to workers, discovery over HTTP.

The coordinator, the router and the logs are those of `wickdyke.gateway`; docs/architecture.md describes the event loop.
"""
