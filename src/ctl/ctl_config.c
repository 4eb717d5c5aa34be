/* ctl_config.c - reads and replaces the accepted configuration in the
   platform's table.

   Needs: ctl_config.h, gnutls (random apply ids).  */

#include "ctl_config.h"
#include "core/limits.h"
#include "core/spread.h"
#include "net/clock.h"
#include <gnutls/crypto.h>
#include <string.h>

#define VERSION_BYTES 8
#define RETRY_MS 250U

static uint64_t
read_be64 (const uint8_t *bytes)
{
  uint64_t value = 0;

  for (int i = 0; i < VERSION_BYTES; i++)
    value = value << 8 | bytes[i];
  return value;
}

static void
write_be64 (uint8_t *bytes, uint64_t value)
{
  for (int i = VERSION_BYTES - 1; i >= 0; i--)
    {
      bytes[i] = (uint8_t)value;
      value >>= 8;
    }
}

static bool
unpack_row (struct mq_ctl_config *config, const struct mq_row *row)
{
  const uint8_t *data = row->value.data;

  if (row->value.len < MQ_CONFIG_HEADER)
    return false;
  config->row_version = row->version;
  config->version = read_be64 (data);
  memcpy (config->apply_id, data + VERSION_BYTES, MQ_APPLY_ID_BYTES);
  config->len = row->value.len - MQ_CONFIG_HEADER;
  config->source = talloc_strndup (
      config, (const char *)data + MQ_CONFIG_HEADER, config->len);
  return config->source != NULL;
}

/* A scan matches by prefix; the row with the exact key sorts first.  */
static const struct mq_row *
find_row (const struct mq_store_result *result)
{
  if (result->row_count > 0
      && strcmp (result->rows[0].key, MQ_CONFIG_KEY) == 0)
    return &result->rows[0];
  return NULL;
}

struct mq_ctl_config *
mq_ctl_config_read (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                    struct mq_error *error)
{
  struct mq_store_request request
      = { .kind = MQ_STORE_SCAN, .key = (char *)MQ_CONFIG_KEY, .limit = 1 };
  struct mq_store_result *result = mq_ctl_store_send (ctl, ctx, &request);
  struct mq_ctl_config *config = talloc_zero (ctx, struct mq_ctl_config);
  const struct mq_row *row = find_row (result);

  config->source = talloc_strdup (config, "");
  if (result->status != MQ_STORE_OK)
    mq_error_set (error, MQ_ERR_STORE_DOWN, "the platform's table", "");
  else if (row != NULL && !unpack_row (config, row))
    mq_error_set (error, MQ_ERR_BAD_ANSWER, "row " MQ_CONFIG_KEY, "");
  else
    {
      talloc_free (result);
      return config;
    }
  talloc_free (result);
  talloc_free (config);
  return NULL;
}

/* Apply.  */

/**
 * struct apply_work - an apply in progress
 * @row: the new row: version, apply id, text
 * @outcome_unknown: the response to a write was lost
 * @now: the row as last read
 */
struct apply_work
{
  struct mq_ctl *ctl;
  TALLOC_CTX *ctx;
  const struct mq_apply *apply;
  struct mq_bytes row;
  bool outcome_unknown;
  struct mq_ctl_config *now;
  struct mq_error error;
};

enum apply_step
{
  STEP_ATTEMPT, /* the base version is in force: write */
  STEP_RETRY,   /* the row could not be read */
  STEP_ACCEPTED,
  STEP_CONFLICT,
  STEP_UNKNOWN
};

static bool
make_row (struct apply_work *work)
{
  const struct mq_apply *apply = work->apply;

  work->row.len = MQ_CONFIG_HEADER + apply->len;
  work->row.data = talloc_size (work->ctx, work->row.len);
  if (work->row.data == NULL)
    return false;
  write_be64 (work->row.data, apply->base + 1);
  if (gnutls_rnd (GNUTLS_RND_NONCE, work->row.data + VERSION_BYTES,
                  MQ_APPLY_ID_BYTES)
      != 0)
    return false;
  memcpy (work->row.data + MQ_CONFIG_HEADER, apply->source, apply->len);
  return true;
}

/* Derives the next step from the row.  Guards against reporting failure when
   the response to a successful write was lost.
   - The row has the apply id: the write succeeded.
   - The row has the base version: the write can be repeated, since the
     condition on the row version lets only one of the two succeed.
   - Another text has version base + 1: the write can never succeed.
   - The row has a later version: a lost write may have been replaced.  */
static enum apply_step
classify_row (const struct apply_work *work)
{
  const struct mq_ctl_config *now = work->now;
  uint64_t base = work->apply->base;

  if (now->version != 0
      && memcmp (now->apply_id, work->row.data + VERSION_BYTES,
                 MQ_APPLY_ID_BYTES)
             == 0)
    return STEP_ACCEPTED;
  if (now->version == base)
    return STEP_ATTEMPT;
  if (now->version > base + 1 && work->outcome_unknown)
    return STEP_UNKNOWN;
  return STEP_CONFLICT;
}

static enum apply_step
read_and_classify (struct apply_work *work)
{
  struct mq_ctl_config *now
      = mq_ctl_config_read (work->ctl, work->ctx, &work->error);

  if (now == NULL)
    return STEP_RETRY;
  talloc_free (work->now);
  work->now = now;
  return classify_row (work);
}

static void
record_written_row (struct apply_work *work, uint64_t row_version)
{
  struct mq_row row = { (char *)MQ_CONFIG_KEY, row_version, work->row };

  talloc_free (work->now->source);
  unpack_row (work->now, &row);
}

/* Returns true if the table confirmed the write.  */
static bool
write_row (struct apply_work *work)
{
  struct mq_store_op op = { .key = (char *)MQ_CONFIG_KEY,
                            .if_version = work->now->row_version,
                            .value = work->row };
  struct mq_store_request request
      = { .kind = MQ_STORE_TXN, .ops = &op, .op_count = 1 };
  struct mq_store_result *result
      = mq_ctl_store_send (work->ctl, work->ctx, &request);
  enum mq_store_status status = result->status;

  if (status == MQ_STORE_OK)
    record_written_row (work,
                        result->row_count > 0 ? result->rows[0].version : 0);
  talloc_free (result);
  switch (status)
    {
    case MQ_STORE_OK:
      return true;
    case MQ_STORE_LOST:
      work->outcome_unknown = true;
      break;
    case MQ_STORE_CONFLICT:
    case MQ_STORE_MISSING:
    case MQ_STORE_DOWN:
    case MQ_STORE_REJECTED:
      break;
    }
  return false;
}

static enum mq_apply_result
failure_result (const struct apply_work *work)
{
  return work->outcome_unknown ? MQ_APPLY_UNKNOWN : MQ_APPLY_FAILED;
}

enum mq_apply_result
mq_ctl_config_apply (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                     const struct mq_apply *apply, struct mq_ctl_config **now)
{
  struct apply_work work = { .ctl = ctl, .ctx = ctx, .apply = apply };
  uint64_t deadline = mq_clock_ms () + apply->give_up_ms;
  enum mq_apply_result result = MQ_APPLY_FAILED;
  bool finished = !make_row (&work);

  while (!finished)
    {
      enum apply_step step = read_and_classify (&work);

      finished = true;
      if (step == STEP_ATTEMPT && write_row (&work))
        result = MQ_APPLY_ACCEPTED;
      else if (step == STEP_ACCEPTED)
        result = MQ_APPLY_ACCEPTED;
      else if (step == STEP_CONFLICT)
        result = MQ_APPLY_CONFLICT;
      else if (step == STEP_UNKNOWN)
        result = MQ_APPLY_UNKNOWN;
      else if (mq_clock_ms () >= deadline)
        result = failure_result (&work);
      else
        {
          finished = false;
          mq_ctl_sleep (ctl, RETRY_MS);
        }
    }
  *now = work.now;
  return result;
}
