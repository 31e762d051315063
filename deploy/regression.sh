#!/usr/bin/env bash
# Scores of the deployments that a change is held against before it lands, one
# after the other, each into a file of its own.
#
#   deploy/regression.sh KIT OUT WHY
#
# KIT is the users' folder with the sites and the bench, OUT a folder for the
# output, WHY the line for the journal. A score may take half an hour.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -ne 3 ]; then
    echo "usage: deploy/regression.sh KIT OUT WHY" >&2
    exit 2
fi
readonly kit=$1 out=$2 why=$3
readonly sites=(
    large/bhvc-mesh-large
    large/pasedorado-mx-large
    grown/bhvc-mesh-grown
    grown/pasedorado-mx-grown
    further/klv-limits
    further-grown/klv-limits-grown
)
# Few at a time: days that share a busy machine are given up as too slow.
readonly jobs=3

bench=$(find "$kit/more" -name fleetbench -type f | sort | tail -n 1)
if [ -z "$bench" ]; then
    echo "no bench under $kit/more" >&2
    exit 1
fi
mkdir -p "$out"
failed=0
for site in "${sites[@]}"; do
    log=$out/$(basename "$site").log
    "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "$why" > "$log" 2>&1 || failed=1
    grep -E '^GATE|^score' "$log" || { echo "$site: no score, see $log" >&2; failed=1; }
done
exit "$failed"
