"""The entry point of `python -m wickdyke.cli`."""

from wickdyke.cli import main

main(prog_name="wickdyke")
