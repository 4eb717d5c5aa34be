/* fuzz.h - decoders of bytes from outside, one function for each.

   A function takes any bytes, decodes them as the product does, checks what
   must hold of whatever was accepted, and says whether it was.  It must give
   the same verdict for the same bytes.  Built with MQ_FUZZER the file of each
   is a libFuzzer program ("make fuzz"); tests/test_fuzz.c runs all of them
   over the corpus.
   Needs: types.h.  */

#ifndef MQ_FUZZ_H
#define MQ_FUZZ_H

#include "core/types.h"

/* X (name, mutations of each file of its corpus in test_fuzz)  */
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

/* True when the bytes were accepted.  */
typedef bool fuzz_function (const uint8_t *data, size_t len);

#define FUZZ_DECLARE(name, mutations) fuzz_function fuzz_##name;
FUZZ_LIST (FUZZ_DECLARE)
#undef FUZZ_DECLARE

/* Stops the process, which libFuzzer and Criterion both report, and says what
   did not hold.  */
#define FUZZ_CHECK(condition)                                                 \
  do                                                                          \
    if (!(condition))                                                         \
      fuzz_fail (#condition, __FILE__, __LINE__);                             \
  while (0)
void fuzz_fail (const char *text, const char *file, int line)
    __attribute__ ((noreturn));

/* A cursor over the input.  */
struct fuzz_input
{
  const uint8_t *data;
  size_t len;
};

/* The next line below CTX without its end, NULL when nothing is left.  */
char *fuzz_next_line (TALLOC_CTX *ctx, struct fuzz_input *input);
/* All that is left as zero-terminated text below CTX.  */
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
