#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review. Run it after the build of the
# deploy file, whose libraries it compiles against.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/lib ] || { echo "Run bin/fleet-build first." >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
target/jdk/bin/javac -Xlint:all -Werror -d target/review -cp 'target/lib/*' review/standins/*.java
