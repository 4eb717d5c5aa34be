/* spread_table.c - polling of the table row that holds the configuration.

   Needs: spread_state.h.  */

#include "spread_state.h"
#include "limits.h"
#include "memory.h"
#include <string.h>

/* Schedules the next poll.  Without a version it uses exponential backoff, so
   that a site that starts during an outage does not overload the store.  */
static void
schedule_poll (struct mq_spread *spread, uint64_t now_us)
{
  uint32_t ms = spread->poller ? MQ_CONFIG_POLL_MS : MQ_CONFIG_POLL_SLOW_MS;

  if (spread->version == 0)
    {
      if (spread->poll.pause_ms < ms)
        ms = spread->poll.pause_ms;
      spread->poll.pause_ms *= 2;
      if (spread->poll.pause_ms > MQ_CONFIG_STARTUP_RETRY_MAX_MS)
        spread->poll.pause_ms = MQ_CONFIG_STARTUP_RETRY_MAX_MS;
    }
  spread->poll.next_us = spread_jittered_time (spread, now_us, ms);
}

void
spread_poll_table (struct mq_spread *spread, uint64_t now_us,
                   struct mq_actions *actions)
{
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_STORE);
  struct mq_store_request *request = &action->u.store;

  spread->poll.id = MQ_SPREAD_STORE_BIT | ++spread->last_id;
  /* Polling continues after this time if the result is lost.  */
  spread->poll.until_us = now_us + 2ULL * MQ_STORE_TIMEOUT_MS * US_PER_MS;
  spread->counters.polls++;
  request->id = spread->poll.id;
  request->kind = MQ_STORE_SCAN;
  request->key = mq_check_alloc (talloc_strdup (actions, MQ_CONFIG_KEY));
  request->limit = 1;
}

static uint64_t
read_version (const uint8_t *data)
{
  uint64_t version = 0;

  for (int i = 0; i < APPLY_ID_OFFSET; i++)
    version = version << 8 | data[i];
  return version;
}

/* True when the row has a non-zero version, an apply id and a text without
   zero bytes of at most MQ_TEXT_MAX_BYTES.  */
static bool
config_row_is_valid (const struct mq_row *row)
{
  size_t text_len;

  if (row->value.len <= MQ_CONFIG_HEADER)
    return false;
  text_len = row->value.len - MQ_CONFIG_HEADER;
  if (text_len > MQ_TEXT_MAX_BYTES || read_version (row->value.data) == 0)
    return false;
  return memchr (row->value.data + MQ_CONFIG_HEADER, 0, text_len) == NULL;
}

static bool
accept_row (struct mq_spread *spread, const struct mq_row *row,
            struct mq_actions *actions)
{
  uint64_t version;

  /* SCAN matches by prefix, so longer keys may appear.  */
  if (strcmp (row->key, MQ_CONFIG_KEY) != 0)
    return false;
  if (!config_row_is_valid (row))
    {
      spread->counters.rows_bad++;
      return false;
    }
  version = read_version (row->value.data);
  /* The row was rewritten without a higher configuration version, against
     the rule for apply.  It is counted, and ignored below.  */
  if (row->version > spread->row_version && spread->row_version != 0
      && version <= spread->version)
    spread->counters.rows_not_rising++;
  if (row->version > spread->row_version)
    spread->row_version = row->version;
  return spread_adopt_config (spread, version,
                              (const char *)row->value.data + MQ_CONFIG_HEADER,
                              row->value.len - MQ_CONFIG_HEADER, actions);
}

void
spread_handle_store (struct mq_spread *spread,
                     const struct mq_spread_input *input,
                     struct mq_actions *actions)
{
  const struct mq_store_result *result = input->u.store;
  bool accepted = false;

  if (result->id == spread->poll.id)
    {
      spread->poll.id = 0;
      if (result->status != MQ_STORE_OK)
        spread->counters.polls_failed++;
    }
  /* Late results are safe to use: lower versions are ignored.  */
  if (result->status == MQ_STORE_OK)
    for (size_t i = 0; i < result->row_count; i++)
      accepted = accept_row (spread, &result->rows[i], actions) || accepted;
  if (spread->poll.id == 0)
    schedule_poll (spread, input->now_us);
  if (accepted)
    spread_on_new_config (spread, input->now_us, actions);
}
