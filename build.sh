#!/bin/bash
# The one way in, for people and for CI: ./build.sh TASK
#
#   check    formatter, linters, types and all tests (what CI calls)
#   demo     both users' deployments on loopback; --keep leaves them up
#   forwarded  forwarded routes on loopback, with faults and a roll-out
#   format   rewrite the sources in the house format
#   test     the tests alone; extra words name tests to run
#   search   seeded fault search: ./build.sh search --seconds N
#   soak     entry VM processes under faults: ./build.sh soak --seed N --seconds S
#   bench    a benchmark: ./build.sh bench NAME
#   docs     rewrite the pages that are made from the code
#   package  build the wheel and the source archive
#   run      run a command in the project's environment
set -euo pipefail
cd "$(dirname "$0")"

# The tools are shared between checkouts: one environment for each state of
# the lock file, made once.
lock_id=$(sha256sum requirements.lock | cut -c1-12)
cache="${XDG_CACHE_HOME:-$HOME/.cache}/carawayward"
venv="$cache/venv-$lock_id"
if [ ! -e "$venv/.complete" ]; then
    mkdir -p "$cache"
    (
        # Two tasks that start at once would install into the same folder.
        flock 9
        if [ ! -e "$venv/.complete" ]; then
            rm -rf "$venv"
            python3 -m venv "$venv"
            "$venv/bin/pip" install -qqq -r requirements.lock
            touch "$venv/.complete"
        fi
    ) 9>"$venv.lock"
fi
export PATH="$venv/bin:$PATH" PYTHONPATH="src:."

task="${1:-help}"
[ $# -gt 0 ] && shift
case "$task" in
check)
    isort -q --check src tests bench docs
    ruff format --check -q src tests bench docs
    ruff check -q src tests bench docs
    flake8 src tests bench docs
    mypy
    python -m tests.run
    ;;
format)
    ruff check -q --fix src tests bench docs || true
    isort -q src tests bench docs
    ruff format -q src tests bench docs
    ;;
test) python -m tests.run "$@" ;;
demo) python -m tests.demo "$@" ;;
forwarded) python -m tests.demo_forwarded "$@" ;;
search) python -m tests.history.search "$@" ;;
soak) python -m tests.soak.run "$@" ;;
bench)
    name="${1:?which benchmark? see bench/}"
    shift
    python -m "bench.$name" "$@"
    ;;
docs) python docs/generate.py ;;
package) python -m build --no-isolation --outdir dist . ;;
run) "$@" ;;
*) sed -n '2,15p' "$0" ;;
esac
