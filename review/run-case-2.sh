#!/usr/bin/env bash
# Runs a case of review/REPORT-2.md: run-case-2.sh NAME FOLDER TROUBLE. See review/stand-ins-2/Main.java.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -d target/review-2 ] && [ -x target/jdk/bin/java ] || { echo "Build first." >&2; exit 2; }
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 115 target/jdk/bin/java -Xmx512m -cp "target/review-2:target/lib/*" \
  Main "$1" "review/$2/record.txt" "$temporary" "$3"
code=$?
[ "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"
case $code in 0|1|2) exit $code ;; *) exit 2 ;; esac
