#!/bin/sh
# The stand-ins are Python modules that need no build beyond that of the deploy file.
# Checks that they can be imported with its libraries.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:platform:.:review PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -W ignore -c "import stage"
