#!/bin/sh
# Runs one check of CI.  Arguments: its name, its number, and its command.  The
# output goes to build/results/NAME.log, the exit status to NAME.status.  Each
# check has its own loopback address and ports, so that checks can run in
# parallel.
name=$1
number=$2
shift 2
log=build/results/$(echo "$name" | tr / +).log
start=$(date +%s)
WISTERIA_TEST_IP=127.0.$((number / 200 + 1)).$((number % 200 + 1))
DEMO_PORT=$((20000 + number * 60))
export WISTERIA_TEST_IP DEMO_PORT
"$@" >"$log" 2>&1 </dev/null
status=$?
echo "$status" >"${log%.log}.status"
echo "$(($(date +%s) - start)) s: $name: exit $status"
