/* test_codec.c - encoding and decoding of messages, intact and corrupted.

   Needs: codec.h, message_samples.h, Criterion.  */

#include "core/id.h"
#include "core/limits.h"
#include "net/codec.h"
#include "message_samples.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  CORRUPTIONS = 2000, /* per message type */
  RUNNING_TAG = 4 << 3 | 2,
  RECOVERED_TAG = 19 << 3 | 2
};

static struct mq_message *
round_trip (TALLOC_CTX *ctx, const struct mq_message *message)
{
  size_t len;
  uint8_t *data = mq_codec_pack (ctx, message, &len);

  cr_assert_not_null (data);
  return mq_codec_unpack (ctx, data, len, NULL);
}

Test (codec, every_field_of_every_type_comes_back)
{
  for (int type = 0; type < MQ_MSG_TYPE_COUNT; type++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_message *sent
          = sample_message (ctx, (enum mq_message_type)type);
      struct mq_message *got = round_trip (ctx, sent);

      cr_assert_not_null (got, "%s", mq_message_name (sent->type));
      cr_expect (sample_equal (sent, got), "%s", mq_message_name (sent->type));
      talloc_free (ctx);
    }
}

Test (codec, absent_strings_and_arrays_come_back_empty)
{
  for (int type = 0; type < MQ_MSG_TYPE_COUNT; type++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_message sent = { .type = (enum mq_message_type)type };
      struct mq_message *got = round_trip (ctx, &sent);

      cr_assert_not_null (got, "%s", mq_message_name (sent.type));
      cr_expect (sample_valid (got), "%s", mq_message_name (sent.type));
      talloc_free (ctx);
    }
}

/* Every enumeration value survives a round trip, and values just outside the
   range are rejected, so that a peer of another version is not misread.  */
Test (codec, out_of_range_enumerations_are_rejected)
{
  for (size_t i = 0; i < sample_field_count; i++)
    {
      const struct sample_field *field = &sample_fields[i];
      bool error = field->kind == SAMPLE_ERROR;
      int last = error ? MQ_ERR_COUNT - 1 : field->last;

      if (field->kind != SAMPLE_ENUM && !error)
        continue;
      for (int value = error ? 0 : -1; value <= last + !error; value++)
        {
          TALLOC_CTX *ctx = talloc_new (NULL);
          struct mq_message *sent = sample_message (ctx, field->type);
          struct mq_message *got;

          memcpy ((char *)sent + field->offset, &value, sizeof value);
          got = round_trip (ctx, sent);
          if (value < 0 || value > last)
            cr_expect_null (got, "%s %d", mq_message_name (field->type),
                            value);
          else
            cr_expect (got != NULL && sample_equal (sent, got), "%s %d",
                       mq_message_name (field->type), value);
          talloc_free (ctx);
        }
    }
}

/* An error name that this version does not know is rejected; decoded as "ok",
   a failure of a newer peer would look like a success.  */
Test (codec, unknown_error_name_is_refused)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_message *sent = sample_message (ctx, MQ_MSG_OUTCOME);
  struct mq_error error = { 0 };
  size_t len;
  uint8_t *data;
  uint8_t *name;

  sent->u.outcome.error = MQ_ERR_TIMEOUT;
  data = mq_codec_pack (ctx, sent, &len);
  name = memmem (data, len, "timeout", 7);
  cr_assert_not_null (name);
  name[0] = 'T';
  cr_expect_null (mq_codec_unpack (ctx, data, len, &error));
  cr_expect_eq (error.type, MQ_ERR_BAD_FRAME);
  talloc_free (ctx);
}

Test (codec, truncated_frames_are_refused)
{
  for (int type = 0; type < MQ_MSG_TYPE_COUNT; type++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_message *sent
          = sample_message (ctx, (enum mq_message_type)type);
      size_t len;
      uint8_t *data = mq_codec_pack (ctx, sent, &len);

      for (size_t cut = 0; cut < len; cut++)
        {
          struct mq_error error = { 0 };
          uint8_t *part = talloc_memdup (ctx, data, cut + !cut);

          cr_expect_null (mq_codec_unpack (ctx, part, cut, &error),
                          "%s cut at %zu", mq_message_name (sent->type), cut);
          cr_expect_eq (error.type, MQ_ERR_BAD_FRAME);
          talloc_free (part);
        }
      talloc_free (ctx);
    }
}

/* Randomly corrupted frames (fixed seed) are either rejected or decoded to a
   valid message that can be encoded again.  */
Test (codec, corrupted_frames_are_refused_or_usable)
{
  uint64_t seed = 20261202;
  size_t refused = 0;

  for (int type = 0; type < MQ_MSG_TYPE_COUNT; type++)
    for (int i = 0; i < CORRUPTIONS; i++)
      {
        TALLOC_CTX *ctx = talloc_new (NULL);
        size_t len;
        uint8_t *data = mq_codec_pack (
            ctx, sample_message (ctx, (enum mq_message_type)type), &len);
        uint32_t flips = 1 + mq_random_below (&seed, 4);
        struct mq_message *got;

        while (flips-- > 0)
          data[mq_random_below (&seed, (uint32_t)len)]
              = (uint8_t)mq_random_next (&seed);
        got = mq_codec_unpack (ctx, data, len, NULL);
        refused += got == NULL;
        if (got != NULL)
          cr_assert (sample_valid (got) && round_trip (ctx, got) != NULL);
        talloc_free (ctx);
      }
  cr_expect_gt (refused, CORRUPTIONS);
}

/* Encodes RECOVERED with COUNT empty calls of two bytes each.  */
static uint8_t *
pack_empty_calls (TALLOC_CTX *ctx, size_t count, size_t *len)
{
  size_t inner = 2 * count;
  uint8_t *data = talloc_zero_size (ctx, inner + 6);

  data[0] = (uint8_t)(RECOVERED_TAG & 0x7f) | 0x80;
  data[1] = RECOVERED_TAG >> 7;
  for (size_t i = 0; i < 4; i++)
    data[2 + i] = (uint8_t)((inner >> (7 * i) & 0x7f) | (i < 3 ? 0x80 : 0));
  for (size_t i = 0; i < count; i++)
    data[6 + 2 * i] = RUNNING_TAG;
  *len = inner + 6;
  return data;
}

struct memory_case
{
  size_t calls;
  bool refused;
};

static const struct memory_case memory_cases[] = {
  { 2, false },
  { 100, false },
  { MQ_FRAME_CALLS_MAX,
    true }, /* within the count limit, but over the memory limit */
  { MQ_FRAME_MAX_BYTES / 2 - 3, true },
};

/* A frame of 8 MiB of empty items would decode to about 600 MiB.  It must be
   rejected and leave no memory allocated.  */
Test (codec, memory_of_a_frame_is_bounded)
{
  for (size_t i = 0; i < sizeof memory_cases / sizeof memory_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      TALLOC_CTX *frame = talloc_new (NULL);
      size_t len;
      uint8_t *data = pack_empty_calls (frame, memory_cases[i].calls, &len);
      struct mq_message *got = mq_codec_unpack (ctx, data, len, NULL);

      cr_expect_eq (got == NULL, memory_cases[i].refused);
      if (got != NULL)
        cr_expect_eq (got->u.recovered.running_count, memory_cases[i].calls);
      else
        cr_expect_eq (talloc_total_size (ctx), 0);
      talloc_free (frame);
      talloc_free (ctx);
    }
}

struct bound_case
{
  enum mq_message_type type;
  size_t most;
};

static const struct bound_case bound_cases[] = {
  { MQ_MSG_RECOVERED, MQ_FRAME_CALLS_MAX },
  { MQ_MSG_LOAD, MQ_FRAME_WORKERS_MAX },
  { MQ_MSG_HANDOVER, MQ_FRAME_PARTITIONS_MAX },
};

static size_t
set_count (TALLOC_CTX *ctx, struct mq_message *message, size_t count)
{
  if (message->type == MQ_MSG_RECOVERED)
    {
      message->u.recovered.running
          = talloc_zero_array (ctx, struct mq_call_ref, (unsigned int)count);
      return message->u.recovered.running_count = count;
    }
  if (message->type == MQ_MSG_LOAD)
    {
      message->u.load.workers = talloc_zero_array (ctx, struct mq_worker_load,
                                                   (unsigned int)count);
      return message->u.load.worker_count = count;
    }
  message->u.handover.partitions
      = talloc_zero_array (ctx, uint32_t, (unsigned int)count);
  return message->u.handover.partition_count = count;
}

Test (codec, arrays_are_bounded)
{
  for (size_t i = 0; i < sizeof bound_cases / sizeof bound_cases[0]; i++)
    for (size_t over = 0; over < 2; over++)
      {
        TALLOC_CTX *ctx = talloc_new (NULL);
        struct mq_message message = { .type = bound_cases[i].type };
        size_t len;
        uint8_t *data;

        set_count (ctx, &message, bound_cases[i].most + over);
        data = mq_codec_pack (ctx, &message, &len);
        cr_expect_eq (data == NULL, over == 1, "%s",
                      mq_message_name (message.type));
        talloc_free (ctx);
      }
}
