#!/usr/bin/env bash
# Plays the regression set and compares it with the kept figures: fails on a broken rule, a failed gate
# or a score more than 0.03 below the kept one. The figures in regress.tsv change by a commit that says why.
#
# PLAYER is the program that plays days, SITES the folder of the deployments, SET the ones to play (all).
set -euo pipefail
cd "$(dirname "$0")/.."
: "${PLAYER:?name the program that plays days}" "${SITES:?name the folder of the deployments}"
loss=0.03 # a change below it is noise of one run, as processor time is measured
failed=0

check() {
  local site=$1 kept=$2 worth=$3 out score gate now
  out=$("$PLAYER" score "$SITES/$site.toml" --jobs 1 --why "regression set") || true
  score=$(sed -nE 's/^score on the standard days of .*\): ([0-9.]+).*/\1/p' <<<"$out" | head -n 1)
  gate=$(grep -oE 'GATE (passed|failed)' <<<"$out" | head -n 1 || true)
  # The columns of a day are its name, VMs and upstreams, score and worth.
  now=$(awk '/^(trouble|scale)-[0-9]+ +[0-9]+\// { sum += $4; n++ } END { if (n) printf "%.3f", sum / n }' <<<"$out")
  printf '%-36s score %s (%s)  worth %s (%s)  %s\n' "$site" "${score:-none}" "$kept" "${now:-none}" "$worth" "${gate:-no gate}"
  grep -E '^[A-Z]{4,} at ' <<<"$out" && failed=1
  [ "$gate" = 'GATE passed' ] || failed=1
  awk -v a="${score:-0}" -v b="$kept" -v l="$loss" 'BEGIN { exit !(a < b - l) }' && failed=1
  return 0
}

while IFS=$'\t' read -r site kept worth; do
  case "$site" in '' | '#'*) continue ;; esac
  [ -z "${SET:-}" ] || [[ " $SET " == *" $site "* ]] || continue
  check "$site" "$kept" "$worth"
done <deploy/regress.tsv
exit "$failed"
