#!/usr/bin/env bash
# Plots response ratio and wasted messages by load from RESULTS/policy.json into
# PNG files in RESULTS. Usage: scripts/plot.sh RESULTS
set -eu
results=$1
python3 - "$results" <<'EOF'
import json, sys
rows = json.load(open(sys.argv[1] + "/policy.json"))["loads"]
policies = ["short-bound", "cactusmast", "no-hold", "two-choices", "stale-jsq"]
for name, key in (("mean", "mean"), ("p99", "p99"),
                  ("wasted", "wasted_per_task")):
    with open(f"{sys.argv[1]}/{name}.dat", "w") as out:
        out.write("load " + " ".join(policies) + "\n")
        for load in sorted({row["load"] for row in rows}):
            values = [next(row[key] for row in rows
                           if row["load"] == load and row["policy"] == policy
                           and row["deployment"] == "Portier")
                      for policy in policies]
            out.write(f"{load} " + " ".join(map(str, values)) + "\n")
EOF
for name in mean p99 wasted; do
  gnuplot <<EOF
set terminal png size 900,500
set output "$results/$name.png"
set title "Portier: $name against load"
set xlabel "load"
set key left top
$([ "$name" = wasted ] || echo "set logscale y")
plot for [i=2:6] "$results/$name.dat" using 1:i with linespoints title columnheader(i)
EOF
done
echo "wrote $results/mean.png, p99.png, wasted.png"
