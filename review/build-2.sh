#!/bin/sh
# Builds the stand-ins that the scripts in review/6 and later start. The node itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/driver2 ./review/_driver2
