#!/bin/sh
# Stops the processes that "make demo KEEP=1" left running and waits until they
# have ended.  Kills those that still run after about 15 seconds.
cd "$(dirname "$0")/.." || exit 1
pids=build/demo/pids
test -f "$pids" || exit 0
while read -r pid name
do
	kill "$pid" 2>/dev/null && echo "stopping $name"
done <"$pids"
while read -r pid name
do
	tries=0
	while kill -0 "$pid" 2>/dev/null && test $tries -lt 150
	do
		sleep 0.1
		tries=$((tries + 1))
	done
	kill -9 "$pid" 2>/dev/null && echo "killed $name"
done <"$pids"
rm -f "$pids"
