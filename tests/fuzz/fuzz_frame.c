/* fuzz_frame.c - frames of a proven peer: frame.c, then codec_unpack.c.

   Input: the size in which the bytes arrive, then the bytes.
   Needs: fuzz.h, frame.h, codec.h, tests/message_samples.h.  */

#include "../message_samples.h"
#include "core/limits.h"
#include "fuzz.h"
#include "net/codec.h"
#include "net/frame.h"
#include <string.h>

FUZZ_MAIN (frame)

/* What was understood must come back the same from our own bytes.  */
static bool
check_message (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_error error = { 0 };
  struct mq_message *message = mq_codec_unpack (ctx, data, len, &error);
  struct mq_message *again;
  uint8_t *packed;
  size_t packed_len;
  bool accepted = message != NULL;

  if (accepted)
    {
      FUZZ_CHECK (sample_valid (message));
      packed = mq_codec_pack (ctx, message, &packed_len);
      FUZZ_CHECK (packed != NULL);
      again = mq_codec_unpack (ctx, packed, packed_len, &error);
      FUZZ_CHECK (again != NULL && sample_equal (message, again));
    }
  else
    FUZZ_CHECK (error.type == MQ_ERR_BAD_FRAME);
  talloc_free (ctx);
  return accepted;
}

/* False at a frame that can't be cut or read.  */
static bool
read_frames (struct mq_frame_reader *reader, size_t *read)
{
  const uint8_t *frame;
  size_t len;
  enum mq_frame_next next;

  while (
      (next = mq_frame_reader_next (reader, MQ_FRAME_MAX_BYTES, &frame, &len))
      == MQ_NEXT_FRAME)
    {
      if (!check_message (frame, len))
        return false;
      ++*read;
    }
  return next == MQ_NEXT_PARTIAL;
}

bool
fuzz_frame (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_frame_reader *reader = mq_frame_reader_create (ctx);
  size_t step = len == 0 || data[0] == 0 ? len : data[0];
  size_t read = 0;
  bool good = true;

  for (size_t at = 1; good && at < len; at += step)
    {
      size_t part = len - at < step ? len - at : step;

      good = mq_frame_reader_feed (reader, data + at, part)
             && read_frames (reader, &read)
             && mq_frame_reader_save_partial (reader);
    }
  /* The same bytes as one message, which the fuzzer reaches more easily.  */
  check_message (data, len);
  talloc_free (ctx);
  return good && read > 0;
}
