#!/bin/sh
# Builds the drivers and stand-ins of the cases 6 to 10 into target/review-2. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/rig-2/*.java
