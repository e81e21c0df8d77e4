#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x target/gooseberrysaild ] && [ -x "review/bin/trial-$number" ] || exit 2
exec "review/bin/trial-$number" "$here/record.txt"
