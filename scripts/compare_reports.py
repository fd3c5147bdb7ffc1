#!/usr/bin/env python3
"""Compares reports named SIDE--DAY--SEED.json with those of one side.

usage: compare_reports.py FOLDER SIDE
"""

import collections
import glob
import json
import os
import statistics
import sys


def read_reports(folder):
    """Returns worth, worst windows and broken rules by side, then (day, seed)."""
    figures = collections.defaultdict(dict)
    for path in glob.glob(os.path.join(folder, "*--*--*.json")):
        side, day, seed = os.path.basename(path)[:-5].split("--")
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
        windows = dict((part[0], part[2]) for part in report["parts"])
        broken = ",".join(sorted(report["breaks"])) or report["fault"] or ""
        figures[side][day, seed] = (report["G"], windows.get("worst windows") or 0, broken)
    return figures


def print_pairs(name, other, base):
    """Prints each pair of runs and returns the gains in worth by day."""
    gains = collections.defaultdict(list)
    for day, seed in sorted(set(base) | set(other)):
        if (day, seed) not in base or (day, seed) not in other:
            print(f"{name:16} {day:12} {seed:>9} incomplete")
            continue
        first, second = base[day, seed], other[day, seed]
        gain = second[0] - first[0]
        gains[day].append(gain)
        broken = " ".join(f"BROKEN {one[2]}" for one in (first, second) if one[2])
        print(f"{name:16} {day:12} {seed:>9} {first[0]:7.3f} {second[0]:7.3f} "
              f"{gain:+7.3f}  {first[1]:.3f} {second[1]:.3f} {broken}")
    return gains


def print_means(name, gains):
    """Prints the mean gain over all pairs and by day."""
    all_gains = [gain for day_gains in gains.values() for gain in day_gains]
    if not all_gains:
        return
    days = "  ".join(f"{day} {statistics.mean(day_gains):+.3f}"
                     for day, day_gains in sorted(gains.items()))
    spread = statistics.stdev(all_gains) if len(all_gains) > 1 else 0.0
    print(f"{name:16} mean {statistics.mean(all_gains):+.4f}, spread of a pair "
          f"{spread:.4f}, {len(all_gains)} pairs: {days}")


def main():
    folder, base = sys.argv[1:]
    figures = read_reports(folder)
    print("side, day, seed, worth there and here, gain, worst windows of both")
    means = {}
    for side in sorted(figures):
        if side != base:
            means[side] = print_pairs(side, figures[side], figures[base])
    for side, gains in means.items():
        print_means(side, gains)


if __name__ == "__main__":
    main()
