#!/bin/sh
# Runs the soak test with the seeds that once failed and with new ones, or with
# those in SOAK_SEEDS, one after the other.  Each run has its own loopback
# address and its output in build/soak-SEED.log.
set -u
cd "$(dirname "$0")/.."

seeds=${SOAK_SEEDS:-$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' test/soak/seeds.txt)
$(awk -v first="$(date +%s)" -v count="${SOAK_RUNS:-10}" \
	'BEGIN { for (i = 0; i < count; i++) print (first + i) % 1000000 }')}
failed=0
for seed in $seeds
do
	WISTERIA_TEST_IP=127.0.$((seed / 250 % 250)).$((seed % 250 + 1)) \
		build/release/soak --seed="$seed" \
		--seconds="${SOAK_SECONDS:-12}" \
		--entries="${SOAK_ENTRIES:-2}" >build/soak-"$seed".log 2>&1 ||
		failed=$((failed + 1))
	grep -a '^BROKEN\|^seed=' build/soak-"$seed".log
done
echo "soak: $failed failed"
test "$failed" -eq 0
