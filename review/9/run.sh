#!/bin/sh
# Plays case 9. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. The build of deploy/balancer.toml and review/build-2.sh come first.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/harrierhoist ] || [ ! -x bin/review-stage2 ]; then
	echo "could not run: bin/harrierhoist or bin/review-stage2 is not built" >&2
	exit 2
fi
exec bin/review-stage2 shutdown review/9/record.txt
