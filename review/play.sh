#!/usr/bin/env bash
# Plays a case of the stand-in (first argument) with its record in a folder (second argument).
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
target/review/standin "$1" "$folder"
code=$?
# Nothing that was started is left, even if the stand-in itself failed.
for process in $(sed -n 's/.* process=\([0-9]*\)$/\1/p' "$folder/record.txt" 2>/dev/null); do
    case "$(readlink "/proc/$process/exe" 2>/dev/null)" in
        */foxtailhoist* | */review/standin*) kill -KILL "$process" 2>/dev/null ;;
    esac
done
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
