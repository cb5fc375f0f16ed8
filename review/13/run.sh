#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/added_route && test -x target/bin/guavalockd || exit 2
timeout -k 1 110 target/review-3/added_route review/13/record.txt
status=$?
test "$status" -le 1 || exit 2
exit "$status"
