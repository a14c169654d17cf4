"""The entry takes the input of a request as JSON gives it, and returns what JSON can hold."""

import os


def run(request_input):
    """Greets whom the input names."""
    return {"said": f"{os.environ['GREETING']}, {(request_input or {}).get('name', 'you')}"}
