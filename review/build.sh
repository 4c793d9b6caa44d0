#!/usr/bin/env bash
# The stand-ins are Python files that need the standard library only: there is nothing to build.
exit 0
