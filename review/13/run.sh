#!/bin/sh
# Exits with 1 if a caller gets an answer to another request, 0 if none does, 2 if the
# case cannot run.  TROUBLE=0: no server spoils an answer.
cd "$(dirname "$0")/../.." || exit 2
test -x target/wisteriad && test -x target/review-3/second_answer || exit 2
exec target/review-3/second_answer review/13
