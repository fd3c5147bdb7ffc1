#!/usr/bin/env bash
# Runs days of a site with each decision mechanism switched off in turn, and
# prints how much worth is lost without it.
#
#   scripts/ablation.sh SITE [DAY...]
#
# Without DAY, all standard days of the site are run. Environment: SEEDS, one or
# more numbers (default "1"); MECHANISMS, names of mechanisms (default: all in
# cactusmast/mechanisms.cc); and the variables of bench_trees.sh.
set -eu
[ $# -ge 1 ] || { sed -n '2,9s/^# \{0,1\}//p' "$0"; exit 2; }
site=$(realpath "$1")
shift
. "$(dirname "$0")/bench_trees.sh"

mechanisms=${MECHANISMS:-$(sed -n '/kMechanisms = {/,/};/p' \
  "$root/cactusmast/mechanisms.cc" | grep -o '"[a-z_]*"' | tr -d '"')}
make_tree all .
build_tree all
for mechanism in $mechanisms; do
  cp -r "$work/all" "$work/$mechanism"
  for settings in "$work/$mechanism"/deploy/coordinator.yaml \
    "$work/$mechanism"/deploy/executor.yaml; do
    echo "switched_off: [$mechanism]" >>"$settings"
  done
done
for seed in ${SEEDS:-1}; do
  for day in ${*:-$(standard_days "$site")}; do
    for side in all $mechanisms; do
      echo "$side $site $day $seed"
    done
  done
done | run_all "ablation: one mechanism switched off"
collect_journal all $mechanisms
python3 "$root/scripts/compare_reports.py" "$work" all
