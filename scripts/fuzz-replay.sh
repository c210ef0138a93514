#!/bin/sh
# Runs fuzz target $1 over its committed inputs and over generated ones, alike
# in each run, under the sanitizers.
set -eu
cd "$(dirname "$0")/.."

# Some targets simulate a whole group or a disk, so a run takes far longer.
case $1 in
raft_fuzz) runs=4000 ;;
storage_fuzz | store_fuzz) runs=6000 ;;
*) runs=20000 ;;
esac
exec "build/sanitize/$1_replay" --runs="${FUZZ_RUNS:-$runs}" --seed=1 \
	"test/fuzz/corpus/$1" "test/fuzz/seeds/${1%_fuzz}"
