#!/bin/sh
# Counts non-blank lines.  Fails unless tests are less than a third of the code,
# and routing, limits, retries, membership, state and recovery are at least a
# quarter of the product's code.
set -eu
cd "$(dirname "$0")/.."

count_lines () {
	git ls-files -co --exclude-standard "$@" |
		xargs -r cat | grep -c '[^[:space:]]' || true
}

tests=$(count_lines 'test/*.c' 'test/*.h')
product=$(count_lines 'src/*.c' 'src/*.h')
bench=$(count_lines 'bench/*.c' 'bench/*.h')
decisions=$(count_lines 'src/wisteria/route/*' 'src/wisteria/limits/*' \
	'src/wisteria/session/*' 'src/wisteria/raft/*' \
	'src/wisteria/store/*' 'src/wisteria/ledger/*' \
	'src/wisteria/control/*')
all=$((tests + product + bench))

echo "product $product, tests $tests, benchmarks $bench, all $all"
echo "tests: $((100 * tests / all))% of the code (under 33%)"
echo "decisions: $((100 * decisions / product))% of the product (25% or more)"
test $((3 * tests)) -lt "$all" && test $((4 * decisions)) -ge "$product"
