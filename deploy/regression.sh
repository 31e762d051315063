#!/usr/bin/env bash
# Scores the deployments that guard against regressions before a change lands, one
# after the other, and writes the output of each to a file of its own.
#
#   deploy/regression.sh BENCH KIT OUT WHY
#
# BENCH is the benchmark program, KIT the users' folder with the deployment files
# (sites), OUT the folder for the output, WHY the reason to record in the journal.
# Paths are absolute or relative to the root of the repository. A score may take
# half an hour.
#
# Exit code: 0 all gates passed, 1 a score failed, 2 invalid arguments, nothing was
# run.
set -euo pipefail
cd "$(dirname "$0")/.."

bad_usage() {
    echo "$1" >&2
    echo "usage: deploy/regression.sh BENCH KIT OUT WHY" >&2
    exit 2
}

if [ "$#" -ne 4 ]; then
    bad_usage "expected four arguments, got $#"
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
# With more runs in parallel the machine is overloaded, and runs are aborted as too slow.
readonly jobs=3

[ -f "$bench" ] || bad_usage "BENCH: $bench is not a file"
[ -x "$bench" ] || bad_usage "BENCH: $bench is not executable"
for site in "${sites[@]}"; do
    [ -f "$kit/$site.toml" ] || bad_usage "KIT: file $kit/$site.toml does not exist"
done
[ -n "$out" ] || bad_usage "OUT: the folder name is empty"
[ -n "$why" ] || bad_usage "WHY: the reason is empty"

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
