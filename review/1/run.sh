#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/olivechute.jar ] && [ -d target/review ] || { echo "build first: deploy/balancer.toml, review/build.sh" >&2; exit 2; }
exec java -cp target/review RepeatedCall review/1/record.txt
