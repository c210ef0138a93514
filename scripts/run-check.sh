#!/bin/sh
# Runs one check of CI: NAME, its number, and its command.  Its output goes to
# build/results/NAME.log, with the exit status in NAME.status.  Checks that run
# side by side listen on loopback addresses of their own.
name=$1
number=$2
shift 2
log=build/results/$(echo "$name" | tr / +).log
begun=$(date +%s)
WISTERIA_TEST_IP=127.0.$((number / 200 + 1)).$((number % 200 + 1))
DEMO_PORT=$((20000 + number * 60))
export WISTERIA_TEST_IP DEMO_PORT
"$@" >"$log" 2>&1 </dev/null
status=$?
echo "$status" >"${log%.log}.status"
echo "$(($(date +%s) - begun)) s: $name: exit $status"
