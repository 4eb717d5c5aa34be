/* fuzz.h - fuzz targets for the decoders of external input.

   A fuzz target decodes arbitrary bytes as the product does, checks the
   invariants of accepted input, and returns whether it was accepted.  The
   result must depend on the bytes only.  With MQ_FUZZER each file is built as
   a libFuzzer program ("make fuzz"); tests/test_fuzz.c runs all targets over
   the corpus.
   Needs: types.h.  */

#ifndef MQ_FUZZ_H
#define MQ_FUZZ_H

#include "core/types.h"

/* X (name, mutations per corpus file in test_fuzz) */
#define FUZZ_LIST(X)                                                          \
  X (text, 500)                                                               \
  X (settings, 1000)                                                          \
  X (api, 1000)                                                               \
  X (frame, 1000)                                                             \
  X (handshake, 1000)                                                         \
  X (platform, 1000)                                                          \
  X (stream, 1000)                                                            \
  X (worker, 1000)                                                            \
  X (log, 1000)                                                               \
  X (owner, 100)                                                              \
  X (relay, 1000)                                                             \
  X (message, 1000)                                                           \
  X (record, 1000)                                                            \
  X (wire, 500)                                                               \
  X (rows, 500)

/* Returns true if the input was accepted.  */
typedef bool fuzz_function (const uint8_t *data, size_t len);

#define FUZZ_DECLARE(name, mutations) fuzz_function fuzz_##name;
FUZZ_LIST (FUZZ_DECLARE)
#undef FUZZ_DECLARE

/* Prints the failed condition and aborts, which libFuzzer and Criterion
   report.  */
#define FUZZ_CHECK(condition)                                                 \
  do                                                                          \
    if (!(condition))                                                         \
      fuzz_fail (#condition, __FILE__, __LINE__);                             \
  while (0)
void fuzz_fail (const char *text, const char *file, int line)
    __attribute__ ((noreturn));

/* Remaining input.  */
struct fuzz_input
{
  const uint8_t *data;
  size_t len;
};

/* Returns the next line without its newline, allocated below CTX; NULL at the
   end of the input.  */
char *fuzz_next_line (TALLOC_CTX *ctx, struct fuzz_input *input);
/* Returns the remaining input as a null-terminated string below CTX.  */
char *fuzz_rest (TALLOC_CTX *ctx, const struct fuzz_input *input);

#ifdef MQ_FUZZER
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);
#define FUZZ_MAIN(name)                                                       \
  int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)                \
  {                                                                           \
    fuzz_##name (data, len);                                                  \
    return 0;                                                                 \
  }
#else
#define FUZZ_MAIN(name)
#endif

#endif
