#!/usr/bin/env bash
# Plays the days of this folder on each given site and prints a table.
#   bench/play.sh BENCH SITE...
# BENCH is the users' bench program; without it nothing is run, and that is said.
# The regression runs take fnfbs-route, fnfbs-route-grown, cpc-router-large,
# cpt-planning-grown and armor-grilles-grown. A site
# named -large is played as its small twin: a whole day takes minutes.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=${1:-}
if [ -z "$bench" ] || [ ! -x "$bench" ]; then
    echo "not run: no bench program was given"
    exit 0
fi
shift
status=0
printf '%-34s %-16s %s\n' day site result
for site in "$@"; do
    size=()
    [[ $(basename "$site" .toml) == *-large ]] && size=(--small)
    for day in bench/days/*.toml; do
        name=$(basename "$day" .toml)
        output=$("$bench" run "$site" "$day" "${size[@]}" --why "own day $name" 2>&1)
        result=$(grep -E "^$name " <<<"$output" | head -1 | tr -s ' ' | cut -d' ' -f2-)
        [ -n "$result" ] || result="no result: $(grep -v '^snapshot' <<<"$output" | tail -1)"
        grep -q 'BROKEN\|no result' <<<"$result" && status=1
        printf '%-34s %-16s %s\n' "$name" "$(basename "$site" .toml)" "$result"
    done
done
exit $status
