#!/usr/bin/env bash
# Plays the case. The programs come from the build line of the deploy file and from review/build-3.sh. Exit code 1: the rule was broken; 0: it held;
# 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/fulmarrail ] && [ -x review/_bin/world3 ] || { echo "build the deploy file and run review/build-3.sh first" >&2; exit 2; }
export TROUBLE=${TROUBLE:-1}
exec review/_bin/world3 outage "$here/record.txt"
