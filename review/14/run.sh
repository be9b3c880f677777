#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
repository=$(cd "$here/../.." && pwd) || exit 2
program=$repository/review/tools-3/target/release/review-3
[ -x "$program" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$program" turned-away "$repository" "$here/record.txt"
