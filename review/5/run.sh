#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
tools=target/review/release/review-tools
[ -x "$tools" ] || { echo "build the gateway and review/build.sh first" >&2; exit 2; }
exec "$tools" stop-limit review/5
