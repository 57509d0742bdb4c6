#!/usr/bin/env bash
# Runs a case: run-case-3.sh NUMBER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/.."
timeout -k 2 117 target/jdk/bin/java -Xmx256m -XX:-UsePerfData \
  -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp 'target/review-3:target/lib/*' "$2" . "review/$1/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
