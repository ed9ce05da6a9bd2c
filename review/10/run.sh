#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/agent bin/review-2/standin-2; do
	test -x "$program" || { echo "$program is missing: run the build of deploy/balancer.toml and review/build-2.sh"; exit 2; }
done
exec bin/review-2/standin-2 outage review/10
