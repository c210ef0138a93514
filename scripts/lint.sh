#!/bin/sh
# Runs the formatter and the linters on every source file; fails on any finding.
set -eu
cd "$(dirname "$0")/.."

sources=$(git ls-files -co --exclude-standard '*.c' '*.h')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources

cppcheck --quiet --error-exitcode=1 --enable=warning,portability \
	--inline-suppr --std=c11 -j "$(nproc)" -I src -I . \
	--library=scripts/cppcheck-macros.cfg \
	--suppress=missingInclude --suppress=checkersReport \
	src platform bench test

git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' 'bench/*.c' 'test/*.c' |
	grep -v '_fuzz\.c$' |
	xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build/release \
		2>/dev/null
echo "lint: clean"
