"""The entry takes the input of a call as JSON gives it, and returns what JSON can hold."""

import os


def run(asked):
    return {"said": f"{os.environ['GREETING']}, {(asked or {}).get('name', 'you')}"}
