#!/bin/sh
# Exits with 1 if what was acknowledged can't be read or requests aren't served after
# one disk was lost, 0 if all is well, 2 if the case cannot run.  TROUBLE=0: no disk is
# lost.  "run.sh gone" plays the other form of claim.txt: a machine is lost for good.
cd "$(dirname "$0")/../.." || exit 2
test -x target/wisteriad && test -x target/review-3/lost_group || exit 2
exec target/review-3/lost_group review/11 "$@"
