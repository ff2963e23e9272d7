#!/bin/sh
# Builds the drivers of the cases with their stand-ins, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for n in 2 3; do
	go build -o target/review/$n ./review/$n
done
