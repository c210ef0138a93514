#!/bin/sh
# Runs every benchmark and prints its tables.  BENCH_ARGS are passed only to the
# load benchmark ("--short", "--seed=2", "--part=recovery", ...).
set -eu
cd "$(dirname "$0")/.."

for bench in build/release/*_bench
do
	test -x "$bench" || continue
	name=$(basename "$bench")
	echo "== $name"
	case $name in
	load_bench)
		# shellcheck disable=SC2086
		"./$bench" ${BENCH_ARGS:-}
		;;
	capacity_bench)
		echo "run by make capacity"
		;;
	*)
		"./$bench"
		;;
	esac
done
