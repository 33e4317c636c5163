#!/usr/bin/env bash
# Plays the case in about 35 s and writes record.txt beside this file. TROUBLE=0 leaves the
# disruption out. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/goldcrestspan ] && [ -x target/review/driver ] || { echo 'build deploy/system.toml and review/build.sh first' >&2; exit 2; }
exec target/review/driver settings-in-a-stop review/3/record.txt
