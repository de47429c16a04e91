#!/bin/sh
# Runs the case restart of review/standin-3. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 restart review/14/record.txt
