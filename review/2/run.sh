#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/review/lost_voter review/2
