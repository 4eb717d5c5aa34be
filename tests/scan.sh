#!/bin/sh
# The core takes time, randomness and messages as plain values.  This scan
# refuses headers and calls that would let it reach for them itself.
bad=$(grep -nE '#include <(sys/|time\.h|tevent|curl/|microhttpd|unistd|stdio\.h|pthread|gnutls|netinet|arpa|poll\.h|fcntl|uuid)' -r --include='*.[ch]' src/core
grep -nE '\b(time|clock_gettime|gettimeofday|random|rand|getrandom|printf|fprintf|fopen|socket|sleep|getenv) \(' -r --include='*.[ch]' src/core)
if [ -n "$bad" ]; then
  printf 'src/core must stay free of input, output, clocks and randomness:\n%s\n' "$bad"
  exit 1
fi
echo "scan: src/core is free of input and output"
