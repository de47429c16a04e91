#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 -case removed-server-used-again -record review/7/record.txt
