/* test_spread.c - distribution of the configuration.

   Deterministic: uses virtual time and seeded random numbers.
   Needs: criterion, spread.h.  */

#include "core/id.h"
#include "core/limits.h"
#include "core/spread.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

enum
{
  MS = 1000,
  STEPS_MAX = 8,
  SITE_HOSTS = 60,
  SITE_DELAY_US = 2 * MS
};

/* Inputs.  */

static struct mq_row
make_row (TALLOC_CTX *ctx, const char *key, uint64_t row_version,
          uint64_t version, const char *text)
{
  size_t len = MQ_CONFIG_HEADER + strlen (text);
  struct mq_row row = { .version = row_version };

  row.key = talloc_strdup (ctx, key);
  row.value.data = talloc_zero_size (ctx, len);
  row.value.len = len;
  for (int i = 0; i < 8; i++)
    row.value.data[i] = (uint8_t)(version >> (56 - 8 * i));
  memcpy (row.value.data + MQ_CONFIG_HEADER, text, strlen (text));
  return row;
}

static void
input_row (struct mq_spread *spread, uint64_t now_us, uint64_t id,
           struct mq_row *row, struct mq_actions *actions)
{
  struct mq_store_result result = { .id = id, .status = MQ_STORE_OK };
  struct mq_spread_input input = { .type = MQ_SPREAD_STORE, .now_us = now_us };

  result.rows = row;
  result.row_count = row == NULL ? 0 : 1;
  input.u.store = &result;
  mq_spread_handle (spread, &input, actions);
}

static void
input_peer (struct mq_spread *spread, uint64_t now_us, uint32_t peer, bool up,
            struct mq_actions *actions)
{
  struct mq_spread_input input = { .now_us = now_us, .peer = peer };

  input.type = up ? MQ_SPREAD_PEER_UP : MQ_SPREAD_PEER_DOWN;
  mq_spread_handle (spread, &input, actions);
}

static void
input_config (struct mq_spread *spread, uint64_t now_us, uint32_t peer,
              enum mq_message_type type, uint64_t version, const char *text,
              struct mq_actions *actions)
{
  struct mq_message message = { .type = type, .config_version = version };
  struct mq_spread_input input
      = { .type = MQ_SPREAD_MESSAGE, .now_us = now_us, .peer = peer };

  message.u.config.version = version;
  message.u.config.text = text;
  input.u.message = &message;
  mq_spread_handle (spread, &input, actions);
}

static void
input_tick (struct mq_spread *spread, uint64_t now_us,
            struct mq_actions *actions)
{
  struct mq_spread_input input = { .type = MQ_SPREAD_TICK, .now_us = now_us };

  mq_spread_handle (spread, &input, actions);
}

/* Handle of the last peer that was sent CONFIG_GET, 0 if none.  */
static uint32_t
queried_peer (const struct mq_actions *actions)
{
  uint32_t peer = 0;

  for (size_t i = 0; i < actions->count; i++)
    if (actions->items[i].type == MQ_ACT_SEND
        && actions->items[i].u.message.type == MQ_MSG_CONFIG_GET)
      peer = actions->items[i].peer;
  return peer;
}

/* The accepted version must never decrease when rows and texts arrive late,
   twice or from outdated peers, and invalid ones must be ignored.  */

enum source
{
  FROM_ROW,
  FROM_OTHER_ROW, /* a longer key with the same prefix */
  FROM_TEXT,
  FROM_HAVE
};

struct rise_step
{
  enum source source;
  uint64_t version;
  const char *text;
  uint64_t expect_version;
  const char *expect_text;
};

static const struct
{
  const char *name;
  struct rise_step steps[STEPS_MAX];
  size_t count;
  uint64_t rises;
  uint64_t conflicts;
  uint64_t bad;
} rise_cases[] = {
  { "a row, then a newer row",
    { { FROM_ROW, 1, "one", 1, "one" }, { FROM_ROW, 2, "two", 2, "two" } },
    2,
    2,
    0,
    0 },
  { "a late row does not revert",
    { { FROM_ROW, 5, "five", 5, "five" },
      { FROM_ROW, 4, "four", 5, "five" },
      { FROM_TEXT, 3, "three", 5, "five" } },
    3,
    1,
    0,
    0 },
  { "a peer's text raises without the table",
    { { FROM_TEXT, 7, "seven", 7, "seven" },
      { FROM_ROW, 7, "seven", 7, "seven" } },
    2,
    1,
    0,
    0 },
  { "a version without its text raises nothing",
    { { FROM_HAVE, 9, "", 0, NULL }, { FROM_TEXT, 9, "nine", 9, "nine" } },
    2,
    1,
    0,
    0 },
  { "two texts under one version: the first stays",
    { { FROM_ROW, 3, "three", 3, "three" },
      { FROM_TEXT, 3, "other", 3, "three" } },
    2,
    1,
    1,
    0 },
  { "a row without text, version 0, and an empty text",
    { { FROM_ROW, 3, "", 0, NULL },
      { FROM_ROW, 0, "zero", 0, NULL },
      { FROM_TEXT, 4, "", 0, NULL } },
    3,
    0,
    0,
    3 },
  { "another row with the same prefix",
    { { FROM_OTHER_ROW, 3, "three", 0, NULL } },
    1,
    0,
    0,
    0 },
};

static void
apply_step (struct mq_spread *spread, TALLOC_CTX *ctx,
            const struct rise_step *step, uint64_t place,
            struct mq_actions *actions)
{
  const char *key
      = step->source == FROM_OTHER_ROW ? MQ_CONFIG_KEY "-old" : MQ_CONFIG_KEY;
  struct mq_row row
      = make_row (ctx, key, place + 1, step->version, step->text);

  switch (step->source)
    {
    case FROM_ROW:
    case FROM_OTHER_ROW:
      input_row (spread, place * MS, 0, &row, actions);
      break;
    case FROM_TEXT:
      input_config (spread, place * MS, 1, MQ_MSG_CONFIG_TEXT, step->version,
                    step->text, actions);
      break;
    case FROM_HAVE:
      input_config (spread, place * MS, 1, MQ_MSG_CONFIG_HAVE, step->version,
                    "", actions);
      break;
    }
}

Test (spread, versions_only_rise)
{
  for (size_t i = 0; i < sizeof rise_cases / sizeof rise_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_spread *spread = mq_spread_create (ctx, "a", "hann", i);
      struct mq_actions *actions = mq_actions_create (ctx);
      const struct mq_spread_counters *counters;

      input_peer (spread, 0, 1, true, actions);
      for (size_t j = 0; j < rise_cases[i].count; j++)
        {
          const struct rise_step *step = &rise_cases[i].steps[j];
          const char *text;

          apply_step (spread, ctx, step, j, actions);
          text = mq_spread_text (spread);
          cr_assert_eq (mq_spread_version (spread), step->expect_version,
                        "%s, step %zu", rise_cases[i].name, j);
          cr_assert_eq (text == NULL, step->expect_text == NULL);
          cr_assert (text == NULL || strcmp (text, step->expect_text) == 0,
                     "%s, step %zu", rise_cases[i].name, j);
        }
      counters = mq_spread_read_counters (spread);
      cr_expect_eq (counters->rises, rise_cases[i].rises, "%s",
                    rise_cases[i].name);
      cr_expect_eq (counters->texts_conflicting, rise_cases[i].conflicts, "%s",
                    rise_cases[i].name);
      cr_expect_eq (counters->rows_bad + counters->texts_bad,
                    rise_cases[i].bad, "%s", rise_cases[i].name);
      talloc_free (ctx);
    }
}

/* With the store down, a process whose first peer fails to provide the
   configuration must get it from the next peer.  */

enum get_fault
{
  PEER_UNRESPONSIVE,
  PEER_DISCONNECTS,
  PEER_EMPTY,
  PEER_BEHIND /* reports version 6 but sends 2 */
};

static const struct
{
  const char *name;
  enum get_fault fault;
  uint64_t after_us; /* deadline for querying the other peer */
} get_cases[] = {
  { "mute", PEER_UNRESPONSIVE, (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS *MS },
  { "dies", PEER_DISCONNECTS, 0 },
  { "empty", PEER_EMPTY, 0 },
  { "behind", PEER_BEHIND, 0 },
};

static void
inject_peer_fault (struct mq_spread *spread, enum get_fault fault,
                   uint32_t peer, struct mq_actions *actions)
{
  uint64_t timeout_us = (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * MS;

  switch (fault)
    {
    case PEER_UNRESPONSIVE:
      input_tick (spread, timeout_us, actions);
      break;
    case PEER_DISCONNECTS:
      input_peer (spread, 0, peer, false, actions);
      break;
    case PEER_EMPTY:
      input_config (spread, 0, peer, MQ_MSG_CONFIG_HAVE, 0, "", actions);
      break;
    case PEER_BEHIND:
      input_config (spread, 0, peer, MQ_MSG_CONFIG_TEXT, 2, "two", actions);
      break;
    }
}

Test (spread, another_peer_is_asked)
{
  for (size_t i = 0; i < sizeof get_cases / sizeof get_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_spread *spread = mq_spread_create (ctx, "a", "hann", i);
      struct mq_actions *actions = mq_actions_create (ctx);
      uint32_t first;
      uint32_t second;

      input_tick (spread, 0, actions);
      input_peer (spread, 0, 1, true, actions);
      input_peer (spread, 0, 2, true, actions);
      first = queried_peer (actions);
      cr_assert_neq (first, 0, "%s", get_cases[i].name);
      input_config (spread, 0, 1, MQ_MSG_CONFIG_HAVE, 6, "", actions);
      input_config (spread, 0, 2, MQ_MSG_CONFIG_HAVE, 6, "", actions);
      cr_assert_eq (queried_peer (actions), first,
                    "at most one pending request");
      mq_actions_clear (actions);
      inject_peer_fault (spread, get_cases[i].fault, first, actions);
      second = queried_peer (actions);
      cr_assert_eq (second, 3 - first, "%s", get_cases[i].name);
      input_config (spread, get_cases[i].after_us, second, MQ_MSG_CONFIG_TEXT,
                    6, "six", actions);
      cr_assert_eq (mq_spread_version (spread), 6, "%s", get_cases[i].name);
      talloc_free (ctx);
    }
}

/* Simulation of a site: all hosts are connected to each other, and the store
   may be unavailable to some.  */

struct site_message
{
  uint64_t at_us;
  size_t from;
  size_t to;
  enum mq_message_type type;
  uint64_t version;
  const char *text;
};

struct site
{
  TALLOC_CTX *ctx;
  struct mq_spread *spreads[SITE_HOSTS];
  uint64_t polls[SITE_HOSTS];
  uint64_t told[SITE_HOSTS][SITE_HOSTS]; /* CONFIG_HAVE messages per pair */
  uint64_t raised_us[SITE_HOSTS];
  struct site_message *wire;
  size_t wire_count;
  struct mq_row row;
  bool store_up;
  uint64_t now_us;
};

/* The peer handle is the host index plus one.  */
static void
site_carry (struct site *site, size_t from, struct mq_actions *actions)
{
  struct mq_actions *more = mq_actions_create (site->ctx);
  size_t notified_now = 0;

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct mq_action *action = &actions->items[i];
      struct site_message *message;

      if (action->type == MQ_ACT_STORE)
        {
          struct mq_store_result result
              = { .id = action->u.store.id, .status = MQ_STORE_DOWN };
          struct mq_spread_input input
              = { .type = MQ_SPREAD_STORE, .now_us = site->now_us };

          site->polls[from]++;
          if (site->store_up)
            result.status = MQ_STORE_OK;
          result.rows = site->store_up ? &site->row : NULL;
          result.row_count = site->store_up && site->row.key != NULL ? 1 : 0;
          input.u.store = &result;
          mq_spread_handle (site->spreads[from], &input, more);
        }
      if (action->type != MQ_ACT_SEND)
        continue;
      site->wire = talloc_realloc (site->ctx, site->wire, struct site_message,
                                   site->wire_count + 1);
      message = &site->wire[site->wire_count++];
      message->at_us = site->now_us + SITE_DELAY_US;
      message->from = from;
      message->to = action->peer - 1;
      message->type = action->u.message.type;
      message->version = action->u.message.u.config.version;
      message->text
          = talloc_strdup (site->ctx, action->u.message.u.config.text);
      if (message->type == MQ_MSG_CONFIG_HAVE && message->version > 0)
        {
          site->told[from][message->to]++;
          notified_now++;
        }
    }
  cr_expect_leq (notified_now, MQ_CONFIG_NOTIFY_PEERS,
                 "too many peers notified at once");
  if (more->count > 0)
    site_carry (site, from, more);
  talloc_free (more);
}

static void
site_deliver (struct site *site)
{
  for (size_t i = 0; i < site->wire_count;)
    {
      struct site_message message = site->wire[i];
      struct mq_actions *actions;

      if (message.at_us > site->now_us)
        {
          i++;
          continue;
        }
      memmove (&site->wire[i], &site->wire[i + 1],
               (--site->wire_count - i) * sizeof message);
      actions = mq_actions_create (site->ctx);
      input_config (site->spreads[message.to], site->now_us,
                    (uint32_t)message.from + 1, message.type, message.version,
                    message.text, actions);
      site_carry (site, message.to, actions);
      talloc_free (actions);
    }
}

static void
site_run (struct site *site, uint64_t until_us)
{
  for (; site->now_us < until_us; site->now_us += MS)
    {
      site_deliver (site);
      for (size_t i = 0; i < SITE_HOSTS; i++)
        {
          struct mq_actions *actions = mq_actions_create (site->ctx);

          if (mq_spread_next_tick (site->spreads[i]) <= site->now_us)
            input_tick (site->spreads[i], site->now_us, actions);
          site_carry (site, i, actions);
          talloc_free (actions);
          if (site->raised_us[i] == 0
              && mq_spread_version (site->spreads[i]) != 0)
            site->raised_us[i] = site->now_us;
        }
    }
}

static struct site *
site_create (TALLOC_CTX *ctx)
{
  static const char *const centres[] = { "plateau", "hann", "almadies" };
  struct site *site = talloc_zero (ctx, struct site);
  struct mq_host *hosts = talloc_zero_array (site, struct mq_host, SITE_HOSTS);
  struct mq_host_list list = { hosts, SITE_HOSTS };
  struct mq_spread_input input = { .type = MQ_SPREAD_HOSTS };
  struct mq_actions *actions = mq_actions_create (ctx);

  site->ctx = site;
  for (size_t i = 0; i < SITE_HOSTS; i++)
    {
      hosts[i].name = talloc_asprintf (site, "host-%zu", i);
      hosts[i].data_centre = centres[i % 3];
      /* Every fifth host is leaving.  */
      hosts[i].leaving = i % 5 == 0;
      site->spreads[i] = mq_spread_create (site, hosts[i].name,
                                           hosts[i].data_centre, i + 1);
    }
  input.u.hosts = &list;
  for (size_t i = 0; i < SITE_HOSTS; i++)
    {
      mq_spread_handle (site->spreads[i], &input, actions);
      for (size_t j = 0; j < SITE_HOSTS; j++)
        if (j != i)
          input_peer (site->spreads[i], 0, (uint32_t)j + 1, true, actions);
    }
  talloc_free (actions);
  return site;
}

/* A new version must reach all hosts within seconds, with no duplicate
   notification from a peer and with frequent store reads only by pollers.  */
Test (spread, reaches_every_host)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct site *site = site_create (ctx);
  uint64_t fast_pollers[3] = { 0 };

  site->store_up = true;
  site_run (site, 20000ULL * MS);
  memset (site->polls, 0, sizeof site->polls);
  site_run (site, 30000ULL * MS);
  for (size_t i = 0; i < SITE_HOSTS; i++)
    if (site->polls[i] > 5)
      fast_pollers[i % 3]++;
  for (size_t i = 0; i < SITE_HOSTS; i += 5)
    cr_expect_leq (site->polls[i], 5, "a leaving host must not poll");
  memset (site->told, 0, sizeof site->told);
  site->row = make_row (site, MQ_CONFIG_KEY, 2, 1, "one");
  site_run (site, 33000ULL * MS);
  for (size_t i = 0; i < SITE_HOSTS; i++)
    {
      cr_expect_eq (mq_spread_version (site->spreads[i]), 1, "host %zu", i);
      for (size_t j = 0; j < SITE_HOSTS; j++)
        cr_expect_leq (site->told[i][j], 1, "host %zu notified host %zu twice",
                       i, j);
    }
  for (size_t i = 0; i < 3; i++)
    cr_expect_leq (fast_pollers[i], MQ_CONFIG_POLLERS);
  talloc_free (ctx);
}

/* With the store down, new hosts must get the configuration from the only
   host that has it, and keep it when the store recovers.  */
Test (spread, one_peer_is_enough)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct site *site = site_create (ctx);
  struct mq_actions *actions = mq_actions_create (ctx);

  site->row = make_row (site, MQ_CONFIG_KEY, 1, 3, "three");
  input_row (site->spreads[7], 0, 0, &site->row, actions);
  site_carry (site, 7, actions);
  site_run (site, 3000ULL * MS);
  for (size_t i = 0; i < SITE_HOSTS; i++)
    cr_expect_eq (mq_spread_version (site->spreads[i]), 3, "host %zu", i);
  site->store_up = true;
  site_run (site, 9000ULL * MS);
  for (size_t i = 0; i < SITE_HOSTS; i++)
    cr_expect_eq (mq_spread_read_counters (site->spreads[i])->rises, 1);
  talloc_free (ctx);
}
