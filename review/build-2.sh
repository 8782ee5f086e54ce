#!/bin/bash
# Builds what the scripts in review/4 to review/8 start beside the daemon that the
# deploy file builds. Their clients, workers, store and proxy are Python
# (review/lib-2), so there is nothing to compile; this only checks that it loads.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "lib-2"); import site_2'
