/* spread_table.c - the configuration as the platform's table has it, read and
   watched.

   Needs: spread_state.h.  */

#include "spread_state.h"
#include "limits.h"
#include "memory.h"
#include <string.h>

/* The table.  */

/* When the table is read next.  Without a version the pause doubles up to a
   bound, so that a whole site that starts during an outage does not meet
   the store with all its hosts each second.  */
static void
plan_poll (struct mq_spread *spread, uint64_t now_us)
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
  /* Every request gets a result; should one be swallowed all the same,
     polling goes on after this time.  */
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

/* True when the row can be a configuration: version, apply id, a text
   without zero bytes and within its bound.  */
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
take_row (struct mq_spread *spread, const struct mq_row *row,
          struct mq_actions *actions)
{
  uint64_t version;

  /* The prefix also matches longer keys.  */
  if (strcmp (row->key, MQ_CONFIG_KEY) != 0)
    return false;
  if (!config_row_is_valid (row))
    {
      spread->counters.rows_bad++;
      return false;
    }
  version = read_version (row->value.data);
  /* A row written later with a version that did not rise: whoever wrote it
     did not follow apply's rule.  It is kept out like any lower version.  */
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
  bool rose = false;

  if (result->id == spread->poll.id)
    {
      spread->poll.id = 0;
      if (result->status != MQ_STORE_OK)
        spread->counters.polls_failed++;
    }
  /* A result that comes late is as good as any: versions only rise.  */
  if (result->status == MQ_STORE_OK)
    for (size_t i = 0; i < result->row_count; i++)
      rose = take_row (spread, &result->rows[i], actions) || rose;
  if (spread->poll.id == 0)
    plan_poll (spread, input->now_us);
  if (rose)
    spread_on_new_config (spread, input->now_us, actions);
}
