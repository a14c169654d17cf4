#!/bin/sh
# Builds what the scripts start: the stand-ins are Python modules of this folder, which are compiled once to check them.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python - <<'END'
import pathlib

for path in sorted(pathlib.Path().glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
