#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
target/jdk/bin/javac -Xlint:all -d target/review-3 -cp 'target/lib/*' review/stand-ins-3/*.java
