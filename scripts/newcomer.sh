#!/bin/sh
# Runs the commands that README lists in a fresh copy of the tree without any
# build.  "make test" is only a dry run, since it runs this script.
set -eu
cd "$(dirname "$0")/.."

copy=$PWD/build/newcomer
rm -rf "$copy"
mkdir -p "$copy"
git ls-files -co --exclude-standard -z |
	xargs -0 cp --parents -t "$copy" --
cd "$copy"

commands=$(sed -n 's/^    \(make [a-z]*\)$/\1/p' README.md)
test "$commands" = "$(printf 'make demo\nmake test')" || {
	echo "newcomer: README names other commands: $commands"
	exit 1
}
make -n test >/dev/null
DEMO_PORT=${DEMO_PORT:-19400} make demo >demo.out 2>&1 || {
	status=$?
	tail -n 60 demo.out
	echo "newcomer: make demo ended with $status"
	exit 1
}
tail -n 5 demo.out
rm -rf "$copy"
