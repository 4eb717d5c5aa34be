/* capacity_spread.c - messages and bytes of one configuration change.

   Hosts are connected in a full mesh; a few of each data centre poll the row.
   Needs: capacity.h, spread.h, codec.h.  */

#include "capacity.h"
#include "core/spread.h"
#include "net/codec.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS_MAX = 1000,
  CENTRES = 12,
  TEXT_BYTES = 8000,
  DELAY_MS = 2,
  SETTLE_MS = 20000,
  WINDOW_MS = 10000,
  MS = 1000,
  FRAME_HEADER = 4,
  VERSION_BYTES = 8
};

struct packet
{
  struct packet *next;
  uint32_t from;
  uint32_t to;
  struct mq_message *message;
};

struct site
{
  uint32_t hosts;
  uint64_t now_ms;
  struct mq_spread *spreads[HOSTS_MAX];
  uint64_t raised_ms[HOSTS_MAX];
  uint64_t sent[HOSTS_MAX];
  uint64_t bytes[HOSTS_MAX];
  uint64_t polls;
  struct packet *in_flight[DELAY_MS + 1];
  uint64_t version;
  struct mq_row row;
};

static void run_actions (struct site *site, uint32_t from,
                         const struct mq_actions *actions);

static void
feed (struct site *site, uint32_t host, struct mq_spread_input *input)
{
  struct mq_actions *actions = mq_actions_create (NULL);

  input->now_us = site->now_ms * MS;
  mq_spread_handle (site->spreads[host], input, actions);
  if (site->raised_ms[host] == 0
      && mq_spread_version (site->spreads[host]) == site->version)
    site->raised_ms[host] = site->now_ms;
  run_actions (site, host, actions);
  talloc_free (actions);
}

static void
answer_poll (struct site *site, uint32_t host, uint64_t id)
{
  struct mq_store_result result = { .id = id, .status = MQ_STORE_OK };
  struct mq_spread_input input = { .type = MQ_SPREAD_STORE };

  result.rows = &site->row;
  result.row_count = 1;
  input.u.store = &result;
  site->polls++;
  feed (site, host, &input);
}

static void
send_packet (struct site *site, uint32_t from, uint32_t to,
             const struct mq_message *message)
{
  struct packet *packet = talloc_zero (NULL, struct packet);
  uint64_t at = (site->now_ms + DELAY_MS) % (DELAY_MS + 1);
  size_t len = 0;
  uint8_t *data = mq_codec_pack (packet, message, &len);

  talloc_free (data);
  site->sent[from]++;
  site->bytes[from] += len + FRAME_HEADER;
  packet->from = from;
  packet->to = to;
  packet->message = talloc_zero (packet, struct mq_message);
  mq_message_copy (packet, packet->message, message);
  packet->next = site->in_flight[at];
  site->in_flight[at] = packet;
}

static void
run_actions (struct site *site, uint32_t from,
             const struct mq_actions *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    {
      const struct mq_action *action = &actions->items[i];

      if (action->type == MQ_ACT_STORE)
        answer_poll (site, from, action->u.store.id);
      else if (action->type == MQ_ACT_SEND)
        send_packet (site, from, action->peer - 1, &action->u.message);
    }
}

static void
deliver (struct site *site)
{
  uint64_t at = site->now_ms % (DELAY_MS + 1);
  struct packet *packet = site->in_flight[at];

  site->in_flight[at] = NULL;
  while (packet != NULL)
    {
      struct packet *next = packet->next;
      struct mq_spread_input input = { .type = MQ_SPREAD_MESSAGE };

      input.peer = packet->from + 1;
      input.u.message = packet->message;
      feed (site, packet->to, &input);
      talloc_free (packet);
      packet = next;
    }
}

static void
run (struct site *site, uint64_t for_ms)
{
  uint64_t until_ms = site->now_ms + for_ms;

  for (; site->now_ms < until_ms; site->now_ms++)
    {
      deliver (site);
      for (uint32_t i = 0; i < site->hosts; i++)
        {
          struct mq_spread_input input = { .type = MQ_SPREAD_TICK };

          if (mq_spread_next_tick (site->spreads[i]) <= site->now_ms * MS)
            feed (site, i, &input);
        }
    }
}

static void
set_version (struct site *site, uint64_t version)
{
  site->version = version;
  for (int i = 0; i < VERSION_BYTES; i++)
    site->row.value.data[i] = (uint8_t)(version >> (56 - 8 * i));
  site->row.version = version;
}

static void
connect_all (struct site *site, uint32_t host)
{
  struct mq_spread_input input = { .type = MQ_SPREAD_PEER_UP };

  for (uint32_t i = 0; i < site->hosts; i++)
    {
      input.peer = i + 1;
      if (i != host)
        feed (site, host, &input);
    }
}

static struct site *
create (uint32_t hosts, uint64_t seed)
{
  struct site *site = talloc_zero (NULL, struct site);
  struct mq_host *items = talloc_zero_array (site, struct mq_host, hosts);
  struct mq_host_list list = { items, hosts };
  struct mq_spread_input input = { .type = MQ_SPREAD_HOSTS };

  site->hosts = hosts;
  site->now_ms = 1;
  site->row.key = talloc_strdup (site, MQ_CONFIG_KEY);
  site->row.value.len = MQ_CONFIG_HEADER + TEXT_BYTES;
  site->row.value.data = talloc_size (site, site->row.value.len);
  memset (site->row.value.data, 't', site->row.value.len);
  set_version (site, 1);
  for (uint32_t i = 0; i < hosts; i++)
    {
      items[i].name = talloc_asprintf (site, "h%u", i);
      items[i].data_centre = talloc_asprintf (site, "dc%u", i % CENTRES);
      site->spreads[i] = mq_spread_create (site, items[i].name,
                                           items[i].data_centre, seed + i);
    }
  input.u.hosts = &list;
  for (uint32_t i = 0; i < hosts; i++)
    feed (site, i, &input);
  for (uint32_t i = 0; i < hosts; i++)
    connect_all (site, i);
  return site;
}

struct change
{
  double first_ms;
  double last_ms;
  double messages; /* per host, mean */
  double most_bytes;
  double bytes;
  double polls;
};

static struct change
measure (uint32_t hosts, uint64_t seed)
{
  struct site *site = create (hosts, seed);
  struct change change = { .first_ms = 1e9 };
  uint64_t start_ms;

  run (site, SETTLE_MS);
  memset (site->sent, 0, sizeof site->sent);
  memset (site->bytes, 0, sizeof site->bytes);
  memset (site->raised_ms, 0, sizeof site->raised_ms);
  site->polls = 0;
  set_version (site, 2);
  start_ms = site->now_ms;
  run (site, WINDOW_MS);
  for (uint32_t i = 0; i < hosts; i++)
    {
      double after = (double)site->raised_ms[i] - (double)start_ms;

      if (site->raised_ms[i] == 0)
        printf ("spread: host %u never rose\n", i);
      change.first_ms = after < change.first_ms ? after : change.first_ms;
      change.last_ms = after > change.last_ms ? after : change.last_ms;
      change.messages += (double)site->sent[i] / hosts;
      change.bytes += (double)site->bytes[i] / hosts;
      if ((double)site->bytes[i] > change.most_bytes)
        change.most_bytes = (double)site->bytes[i];
    }
  change.polls = (double)site->polls * MS / WINDOW_MS;
  talloc_free (site);
  return change;
}

#define COLUMNS(X)                                                            \
  X (first_ms, "ms to the first host")                                        \
  X (last_ms, "ms to the last host")                                          \
  X (messages, "messages a host, mean")                                       \
  X (bytes, "bytes a host, mean")                                             \
  X (most_bytes, "bytes of one host, most")                                   \
  X (polls, "reads a second, all")

void
capacity_run_spread (void)
{
  static const uint32_t sizes[] = { 10, 30, 100, 300, 1000 };
  TALLOC_CTX *ctx = talloc_new (NULL);
#define CREATE(column, unit)                                                  \
  struct capacity_series *column                                              \
      = capacity_series_create (ctx, "spread." #column, "hosts", unit);
  COLUMNS (CREATE)
#undef CREATE

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        struct change change = measure (sizes[i], 1000ULL * (uint64_t)repeat);

#define ADD(column, unit)                                                     \
  capacity_series_add (column, sizes[i], change.column);
        COLUMNS (ADD)
#undef ADD
      }
#define PRINT(column, unit) capacity_series_print (column);
  COLUMNS (PRINT)
#undef PRINT
  talloc_free (ctx);
}
