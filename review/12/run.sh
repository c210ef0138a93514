#!/bin/sh
# Exits with 1 if a booking that has run is answered 503, 0 if none is, 2 if the case
# cannot run.  TROUBLE=0: no server fails.
cd "$(dirname "$0")/../.." || exit 2
test -x target/wisteriad && test -x target/review-3/answered_503 || exit 2
exec target/review-3/answered_503 review/12
