# Functions for scripts that run days in several trees, which are copies of the
# repository that differ in commit or settings. Source it. Environment:
# FLEETBENCH, the operators' benchmark program (default: fleetbench on PATH);
# JOBS, number of days that run in parallel (default 2); FLAGS, further options
# of that program, such as --no-cpu.

root=$(git rev-parse --show-toplevel)
bench=$(realpath "$(command -v "${FLEETBENCH:-fleetbench}")")
work=$(mktemp -d)
trap 'cd "$root"; git worktree prune; rm -rf "$work"' EXIT
export root bench work

# Names of a site's standard days.
standard_days() { # SITE
  sed -n '/^\[\[day\]\]/,/^seed/s/^name = "\(.*\)"/\1/p' "$1"
}

# Creates the tree of a side. A commit of "." copies the working tree, so that
# later edits have no effect on the runs.
make_tree() { # SIDE COMMIT
  if [ "$2" = . ]; then
    mkdir "$work/$1"
    (cd "$root" && git ls-files -z -co --exclude-standard -- ':!journal' |
      tar -c --null -T - -f - 2>/dev/null) | tar -x -C "$work/$1"
    (cd "$work/$1" && git init -q && git add -A &&
      git -c user.name=trial -c user.email=trial@localhost commit -qm tree)
  else
    git -C "$root" worktree add -q --detach "$work/$1" "$2"
  fi
}

build_tree() { # SIDE
  (cd "$work/$1" && "$bench" build >/dev/null)
}

run_day() { # SIDE SITE DAY SEED WHY
  local name="$work/$1--$3--$4"
  (cd "$work/$1" && "$bench" run "$2" "$3" --seed "$4" \
    --report "$name.json" --why "$5" ${FLAGS:-} >"$name.log" 2>&1) ||
    echo "failed: $1 $3 $4: $(tail -1 "$name.log")" >&2
}
export -f run_day

# Runs a day for each line SIDE SITE DAY SEED of standard input.
run_all() { # WHY
  why=$1 xargs -P "${JOBS:-2}" -L 1 bash -c 'run_day "$@" "$why"' run_day
}

# Copies the journal entries of all runs into the repository.
collect_journal() { # SIDE...
  local side entry
  for side in "$@"; do
    (cd "$work/$side" && find journal -type f) | while read -r entry; do
      [ -e "$root/$entry" ] || {
        mkdir -p "$root/$(dirname "$entry")"
        cp "$work/$side/$entry" "$root/$entry"
      }
    done
  done
}
