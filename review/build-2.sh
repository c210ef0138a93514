#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
	[ -f "$case/case.c" ] || continue
	cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
		-o "target/review-2/case-${case#review/}" \
		review/stand-2/stand.c "$case/case.c"
done
