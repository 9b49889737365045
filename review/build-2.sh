#!/usr/bin/env bash
# Builds what the scripts of review/4 and review/5 start besides the deploy file's
# program. Their stand-ins are Python modules of this folder, which use nothing but
# the standard library: they are only compiled here, as a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin-2/*.py trials-2/*.py 4/case.py 5/case.py <<'PY'
import os, sys
for path in filter(os.path.exists, sys.argv[1:]):
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
test -x ../target/release/figscale || echo "build the deploy file's program first: cargo build --release --locked -p figscale"
