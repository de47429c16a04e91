#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/primrosethread ] || exit 2
exec review/bin/harness readers review/5
