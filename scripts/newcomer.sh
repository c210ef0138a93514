#!/bin/sh
# A newcomer's walk: the commands of README, read from README itself, in a
# fresh copy of the tree without any build.  "make test" is only looked at,
# since this walk is a part of it.
set -eu
cd "$(dirname "$0")/.."

walk=$PWD/build/newcomer
rm -rf "$walk"
mkdir -p "$walk"
git ls-files -co --exclude-standard -z |
	xargs -0 cp --parents -t "$walk" --
cd "$walk"

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
rm -rf "$walk"
