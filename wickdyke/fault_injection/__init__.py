"""Stand-ins, fault scripts, the recorder of traffic and the judge of the five rules.

It sees sockets: it uses the protocol and the reader of S-expressions, never the gateway or the module.
"""
