#!/bin/sh
# Everything that CI runs: build, formatter and linters, unit and functional
# tests, the same tests under ASan and UBSan, and the fuzz targets.  A check
# named in KNOWN-RED.txt may fail; it is printed, and any other failure fails
# the run.
set -u
cd "$(dirname "$0")/.."

passed=0
failed=0
known_red=0

check () {
	name=$1
	shift
	echo "== $name"
	if "$@"
	then
		passed=$((passed + 1))
		if grep -q "^test: $name\$" KNOWN-RED.txt
		then
			echo "known red, but passed: $name"
		fi
	elif grep -q "^test: $name\$" KNOWN-RED.txt
	then
		known_red=$((known_red + 1))
		echo "known red: $name"
	else
		failed=$((failed + 1))
		echo "FAILED: $name"
	fi
}

# Runs one test; prints its output only if it fails.
run_one () {
	ctest --test-dir "$1" -R "^$2\$" --output-on-failure \
		>build/test.log 2>&1 && return 0
	cat build/test.log
	return 1
}

ctest_each () {
	directory=$1
	label=$2
	for test_name in $(ctest --test-dir "$directory" -N |
		sed -n 's/^ *Test *#[0-9]*: //p')
	do
		check "$label$test_name" run_one "$directory" "$test_name"
	done
}

check build make --no-print-directory build
check lint sh scripts/lint.sh
ctest_each build/release ''
check sanitize make --no-print-directory sanitize
ctest_each build/sanitize sanitize/
check fuzz-build make --no-print-directory fuzz-build
for source in test/fuzz/*_fuzz.c
do
	target=$(basename "$source" .c)
	check "fuzz/$target" sh scripts/fuzz.sh "$target"
done

test "$known_red" -eq 0 || echo "known red, failing: $known_red"
echo "$passed passed, $failed failed"
test "$failed" -eq 0
