/* fuzz_codec.c - bytes of a peer into the decoders of its frames.

   A libFuzzer target, not part of "make tests".  Build and run, with
   Debian's clang and libclang-rt-14-dev:

     make BUILD=build-fuzz CC=clang OPT=-O1 SANITIZE=-fsanitize=address,\
undefined,fuzzer-no-link build-fuzz/libmimosaquay.a
     clang -fsanitize=address,undefined,fuzzer -Isrc -D_GNU_SOURCE \
       tests/fuzz/fuzz_codec.c build-fuzz/libmimosaquay.a \
       $(pkg-config --libs talloc tevent libprotobuf-c gnutls libxxhash \
         jansson inih) -o build-fuzz/fuzz_codec
     build-fuzz/fuzz_codec -max_total_time=60

   What is decoded must pack again, and the repeat must decode too.
   Needs: codec.h, handshake.h.  */

#include "../../src/io/codec.h"
#include "../../src/io/handshake.h"
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_message (TALLOC_CTX *ctx, const uint8_t *data, size_t size)
{
  struct mq_message *message = mq_codec_unpack (ctx, data, size, NULL);
  size_t len;
  uint8_t *again;

  if (message == NULL)
    return;
  again = mq_codec_pack (ctx, message, &len);
  if (again == NULL || mq_codec_unpack (ctx, again, len, NULL) == NULL)
    abort ();
}

static void
fuzz_handshake (TALLOC_CTX *ctx, const uint8_t *data, size_t size)
{
  static const uint8_t key[MQ_KEY_BYTES];
  static const struct mq_peer_info self
      = { .host = "m", .address = "127.0.0.1:9", .data_centre = "hann" };
  struct mq_handshake *handshake
      = mq_handshake_create (ctx, MQ_SIDE_ACCEPT, key, &self);
  struct mq_error error;

  if (handshake == NULL)
    return;
  mq_handshake_read_hello (handshake, data, size, &error);
  if (mq_handshake_check_proof (handshake, data, size, &error))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  fuzz_message (ctx, data, size);
  fuzz_handshake (ctx, data, size);
  talloc_free (ctx);
  return 0;
}
