"""The service: doors take RPCs, the desk lets the module decide, links call the workers."""
