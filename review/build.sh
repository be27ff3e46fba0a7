#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs a JDK of release 21 or later.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/lib/find-jdk
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standins/*.java
