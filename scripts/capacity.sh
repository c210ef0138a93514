#!/bin/sh
# Measures every slope of docs/CAPACITY.md and replaces the page's table between
# its markers.  Uses only the loopback interface; takes a few minutes.
set -eu
cd "$(dirname "$0")/.."

page=docs/CAPACITY.md
table=build/release/capacity.md
timeout "${CAPACITY_LIMIT_S:-900}" build/release/capacity_bench >"$table"
awk -v table="$table" '
	/<!-- measured:begin -->/ {
		print
		while ((getline line < table) > 0)
			print line
		skip = 1
	}
	/<!-- measured:end -->/ { skip = 0 }
	!skip && !/<!-- measured:begin -->/ { print }
' "$page" >"$page.new"
mv "$page.new" "$page"
cat "$table"
