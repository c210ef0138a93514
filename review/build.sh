#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand/*.c; do
	name=$(basename "$source" .c)
	[ "$name" = stand ] && continue
	cc -std=gnu11 -O1 -g -Wall -Wextra -o "target/review/$name" \
		"$source" review/stand/stand.c -lpthread
done
