#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon. Their stand-ins are written in Python and use its
# standard library only, as tools/demo.py does; they are compiled here so that a fault in them shows before a run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; [compile(open(each).read(), each, "exec") for each in sys.argv[1:]]' common-2/*.py [4-8]/run.py
test -x ../target/gooseberrysaild || echo "build-2: the daemon of the deploy file is not built yet" >&2
