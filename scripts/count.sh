#!/bin/sh
# Counts lines that are not blank: the tests' share of the code, which is to
# stay under a third, and the share of routing, limits, retries, membership,
# state and recovery in the product's code, which is to be a quarter or more.
set -eu
cd "$(dirname "$0")/.."

lines () {
	git ls-files -co --exclude-standard "$@" |
		xargs -r cat | grep -c '[^[:space:]]' || true
}

tests=$(lines 'test/*.c' 'test/*.h')
product=$(lines 'src/*.c' 'src/*.h')
bench=$(lines 'bench/*.c' 'bench/*.h')
decisions=$(lines 'src/wisteria/route/*' 'src/wisteria/limits/*' \
	'src/wisteria/session/*' 'src/wisteria/raft/*' \
	'src/wisteria/store/*' 'src/wisteria/ledger/*' \
	'src/wisteria/control/*')
all=$((tests + product + bench))

echo "product $product, tests $tests, benchmarks $bench, all $all"
echo "tests: $((100 * tests / all))% of the code (under 33%)"
echo "decisions: $((100 * decisions / product))% of the product (25% or more)"
test $((3 * tests)) -lt "$all" && test $((4 * decisions)) -ge "$product"
