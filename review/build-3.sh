#!/bin/sh
# Builds the stand-ins of review 3 into target/review-3, with the C compiler and
# the C library alone.
set -eu
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for case_name in answered_503 second_answer other_writer crash_wave
do
	cc -std=gnu11 -O2 -Wall -Wextra -Werror -pthread \
		-o "target/review-3/$case_name" \
		"review/stand-3/$case_name.c" review/stand-3/stand.c
done
cc -std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
	-o target/review-3/lost_group review/stand-3/lost_group.c review/stand-2/stand.c
