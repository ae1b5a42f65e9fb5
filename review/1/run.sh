#!/bin/sh
# Plays the case "drain" of review/testdata/lab and writes record.txt beside this file. Exit status: 1 the rule was broken, 0
# it held, 2 the case could not run. TROUBLE=0 leaves the disruption out. Before: the build of deploy/balancer.toml, and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/lab ] && [ -x bin/harrierhoist ] || { echo "not built" >&2; exit 2; }
exec review/bin/lab drain review/1
