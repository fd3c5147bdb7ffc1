#!/usr/bin/env bash
# Runs days of a site with the same seeds at two commits, and prints the worth
# of each pair of runs, the mean difference and its standard deviation.
#
#   scripts/compare.sh A B SITE [DAY...]
#
# A, B: commits, or "." for the working tree. Without DAY, all standard days of
# the site are run. Environment: SEEDS, one or more numbers (default "1 2 3");
# WHY, the reason in the journal; and the variables of bench_trees.sh.
set -eu
[ $# -ge 3 ] || { sed -n '2,9s/^# \{0,1\}//p' "$0"; exit 2; }
first=$1 second=$2 site=$(realpath "$3")
shift 3
. "$(dirname "$0")/bench_trees.sh"

make_tree a "$first"
make_tree b "$second"
build_tree a
build_tree b
for seed in ${SEEDS:-1 2 3}; do
  for day in ${*:-$(standard_days "$site")}; do
    printf '%s\n' "a $site $day $seed" "b $site $day $seed"
  done
done | run_all "${WHY:-compare $first $second}"
collect_journal a b
python3 "$root/scripts/compare_reports.py" "$work" a
