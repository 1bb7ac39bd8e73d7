#!/bin/sh
# Builds the stand-ins of all cases; after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/rig/*.java
