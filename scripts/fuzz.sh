#!/bin/sh
# Searches with libFuzzer: runs every fuzz target, or the one named, over its
# committed corpus and then for a number of runs.  FUZZ_RUNS and FUZZ_SEED
# override the number and the seed.  Runs with one seed are not alike, since the
# values that libFuzzer takes from comparisons hold addresses of the process; CI
# runs scripts/fuzz-replay.sh instead.  An input that fails goes to
# test/fuzz/seeds, with a test that runs it.
set -eu
cd "$(dirname "$0")/.."

# Some targets simulate a whole group or a disk, so a run takes far longer.
runs_of () {
	case $1 in
	raft_fuzz) echo 4000 ;;
	storage_fuzz | store_fuzz) echo 6000 ;;
	*) echo 20000 ;;
	esac
}

seed=${FUZZ_SEED:-1}
status=0
for target in build/fuzz/${1:-*_fuzz}
do
	test -x "$target" || continue
	name=$(basename "$target")
	runs=${FUZZ_RUNS:-$(runs_of "$name")}
	corpus=test/fuzz/corpus/$name
	scratch=build/fuzz/scratch/$name
	rm -rf "$scratch"
	mkdir -p "$scratch"
	test -d "$corpus" || corpus=
	echo "fuzz: $name seed=$seed runs=$runs"
	# shellcheck disable=SC2086
	if "./$target" -seed="$seed" -runs="$runs" -max_len=2048 -len_control=0 -timeout=25 \
		-artifact_prefix="$scratch/" "$scratch" $corpus \
		>"$scratch.log" 2>&1
	then
		tail -n 1 "$scratch.log"
	else
		echo "fuzz: $name failed"
		tail -n 60 "$scratch.log"
		status=1
	fi
done
exit $status
