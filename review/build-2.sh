#!/usr/bin/env bash
# Compiles the stand-ins and the cases of review/REPORT-2.md into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 -cp "target/lib/*" review/stand-ins-2/*.java
