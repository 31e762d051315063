#!/usr/bin/env bash
# Scores of the deployments that a change is held against before it lands, one
# after the other, each into a file of its own.
#
#   deploy/regression.sh BENCH KIT OUT WHY
#
# BENCH is the bench to score with, KIT the users' folder with the sites, OUT a
# folder for the output, WHY the line for the journal. Paths are absolute or
# begin at the root of the repository. A score may take half an hour.
#
# Exit code: 0 every gate was passed, 1 a score failed, 2 bad usage, nothing was
# run.
set -euo pipefail
cd "$(dirname "$0")/.."

bad_usage() {
    echo "$1" >&2
    echo "usage: deploy/regression.sh BENCH KIT OUT WHY" >&2
    exit 2
}

if [ "$#" -ne 4 ]; then
    bad_usage "four arguments are needed, $# given"
fi
readonly bench=$1 kit=$2 out=$3 why=$4
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

[ -f "$bench" ] || bad_usage "BENCH: no file $bench"
[ -x "$bench" ] || bad_usage "BENCH: $bench is not executable"
for site in "${sites[@]}"; do
    [ -f "$kit/$site.toml" ] || bad_usage "KIT: no site $kit/$site.toml"
done
[ -n "$out" ] || bad_usage "OUT: no folder is named"
[ -n "$why" ] || bad_usage "WHY: the journal needs a reason"

bench_path=$(realpath -- "$bench")
readonly bench_path
mkdir -p "$out"
failed=0
for site in "${sites[@]}"; do
    log=$out/$(basename "$site").log
    "$bench_path" score "$kit/$site.toml" --jobs "$jobs" --why "$why" > "$log" 2>&1 || failed=1
    grep -E '^GATE|^score' "$log" || { echo "$site: no score, see $log" >&2; failed=1; }
done
exit "$failed"
