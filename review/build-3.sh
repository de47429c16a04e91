#!/bin/sh
# Builds the stand-ins that the scripts in review/12 to review/15 start. Run it after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standin-3
