#!/bin/sh
# Builds the program that the scripts of review/4 to review/6 start, with the stand-ins in it.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
