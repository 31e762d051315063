#!/usr/bin/env bash
# A late extra copy of a 421 is taken for the answer to the next booking.
# Needs the build of deploy/system.toml and review/build.sh. Exit codes: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
readonly program=target/review/debug/review-case
if [ ! -x "$program" ] || [ ! -x target/release/hemlocktackd ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
end_all() {
    [ -n "$running" ] && kill "$running" 2> /dev/null
    # Only a program that was ended leaves processes of its own.
    while read -r id; do
        if tr '\0' ' ' 2> /dev/null < "/proc/$id/cmdline" | grep -qF "$folder"; then
            kill -KILL "$id" 2> /dev/null
        fi
    done < <(cat "$folder/processes" 2> /dev/null)
    rm -rf "$folder"
}
running=
trap end_all EXIT
trap 'exit 2' HUP INT TERM
"$program" late-rejection "$folder" review/1/record.txt &
running=$!
wait "$running"
code=$?
running=
exit "$code"
