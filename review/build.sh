#!/bin/sh
# Builds the stand-ins and the driver that the scripts start. Run it in the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/driver ./review/_driver
