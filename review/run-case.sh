#!/usr/bin/env bash
# Runs the script of a case: review/run-case.sh NAME FOLDER. Writes FOLDER/record.txt. Needs
# deploy/build and review/build.sh first.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
. bin/lib/find-jdk || exit 2
if [ ! -d target/review ] || [ ! -s target/host/classes.jsa ]; then
  echo "run deploy/build and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 115 "$JAVA_HOME/bin/java" -Xmx256m -cp target/review Main "$1" "$folder/record.txt"
code=$?
# The time limit and a failure of the case itself are no verdict.
[ $code -le 1 ] || exit 2
exit $code
