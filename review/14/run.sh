#!/bin/sh
# Runs the case unsealed of review/standin-3. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3 || exit 2
exec target/review-3 unsealed review/14/record.txt
