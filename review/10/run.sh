#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case=$(cd "$(dirname "$0")" && pwd)
program=$case/../../target/review-2/release/idle-burst
[ -x "$program" ] && [ -x "$case/../../target/release/hibiscusladder" ] || exit 2
exec "$program" "$case"
