#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python modules without dependencies; the
# hosts that the cases start are built by the deploy file.
cd "$(dirname "$0")" && exec python3 -m compileall -q stand3 11 12 13 14 15
