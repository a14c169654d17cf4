"""The gateway: client connections receive requests, the router decides on them, worker clients send the attempts."""
