#!/bin/sh
# Runs everything that CI runs: builds, formatter and linters, unit and
# functional tests, the same tests under ASan and UBSan, and the fuzz targets.
# TEST_JOBS checks run in parallel, by default as many as three quarters of the
# processors, and at least 4.  A check listed in KNOWN-RED.txt may fail
# and is then printed; any other failure fails the run.
set -u
cd "$(dirname "$0")/.."

processors=$(nproc)
default_jobs=$((processors * 3 / 4 > 4 ? processors * 3 / 4 : 4))
jobs=${TEST_JOBS:-$default_jobs}
passed=0
failed=0
known_red=0
number=0
rm -rf build/results
mkdir -p build/results

# Tests that flood a process and then ask it for an answer run one at a time,
# apart from the others.
alone='functional/client_crowd_test functional/endless_answers_test'

# Adds check $1 with command $2 to the list of the current phase.
add () {
	number=$((number + 1))
	echo "$1 $number $2" >>build/results/list
}

# Runs the checks of the list, $1 in parallel.  They start in the order of the
# list, which has the longest ones first.
run_list () {
	xargs -P "$1" -L 1 sh scripts/run-check.sh <build/results/list
	cat build/results/list >>build/results/all
	rm build/results/list
}

# Adds test $3 of build folder $1, named with prefix $2.
add_test () {
	add "$2$3" "ctest --test-dir $1 -R ^$3\$ --output-on-failure"
}

add_tests () {
	for test_name in $(ctest --test-dir "$1" -N |
		sed -n 's/^ *Test *#[0-9]*: //p' | grep "^$3")
	do
		case " $alone " in
		*" $test_name "*) continue ;;
		esac
		add_test "$1" "$2" "$test_name"
	done
}

# Counts the result of check $1 and prints the output if it failed.
count_result () {
	base=build/results/$(echo "$1" | tr / +)
	status=$(cat "$base.status" 2>/dev/null || echo "not run")
	if test "$status" = 0
	then
		passed=$((passed + 1))
		if grep -q "^test: $1\$" KNOWN-RED.txt
		then
			echo "known red, but passed: $1"
		fi
	elif grep -q "^test: $1\$" KNOWN-RED.txt
	then
		known_red=$((known_red + 1))
		echo "known red: $1"
	else
		failed=$((failed + 1))
		echo "== $1"
		tail -n 100 "$base.log"
		echo "FAILED: $1"
	fi
}

add build "make --no-print-directory build"
add sanitize "make --no-print-directory sanitize"
add fuzz-build "make --no-print-directory fuzz-build"
run_list 3

add_tests build/sanitize sanitize/ functional/
add_tests build/release '' functional/
add lint "sh scripts/lint.sh"
for source in test/fuzz/*_fuzz.c
do
	target=$(basename "$source" .c)
	add "fuzz/$target" "sh scripts/fuzz-replay.sh $target"
done
add_tests build/sanitize sanitize/ unit/
add_tests build/release '' unit/
run_list "$jobs"

for test_name in $alone
do
	add_test build/release '' "$test_name"
	add_test build/sanitize sanitize/ "$test_name"
done
run_list 1

while read -r name rest
do
	count_result "$name"
done <build/results/all

test "$known_red" -eq 0 || echo "known red, failing: $known_red"
echo "$passed passed, $failed failed"
test "$failed" -eq 0
