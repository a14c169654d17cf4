"""The gateway: client connections take requests, the coordinator asks the router, worker clients send attempts."""
