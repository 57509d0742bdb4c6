#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -d target/review ] || { echo "Run review/build.sh first." >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/jdk/bin/java -Xmx1g -cp 'target/review:target/lib/*' CountCase "$here/record.txt"
