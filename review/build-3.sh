#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/*.java
