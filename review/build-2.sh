#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/standins-2
javac -nowarn -d target/standins-2 standins-2/src/*.java
