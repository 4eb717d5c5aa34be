/* spread.c - gossip of the configuration between processes.

   A new configuration comes from the polled table row, or from a peer that
   was asked after it reported a higher version.  The version never
   decreases, and version and text change together.  After a change, peers
   are notified a few at a time.  Each of them fetches the text and notifies
   its own peers; a peer that already reports the version is skipped.
   Needs: spread.h, id.h, limits.h.  */

#include "spread_state.h"
#include "id.h"
#include "limits.h"
#include "memory.h"
#include <string.h>

/* Rendezvous hash key that selects the pollers of a data centre.  */
#define POLLER_KEY 0x636f6e666967ULL

/* The earlier of two times, where 0 means none.  */
static uint64_t
earlier (uint64_t a, uint64_t b)
{
  if (a == 0)
    return b;
  if (b == 0)
    return a;
  return a < b ? a : b;
}

/* NOW_US plus a uniformly random 50% to 150% of MS.  */
uint64_t
spread_jittered_time (struct mq_spread *spread, uint64_t now_us, uint32_t ms)
{
  uint64_t spread_us = (uint64_t)ms * US_PER_MS;

  return now_us + spread_us / 2
         + mq_random_next (&spread->random) % (spread_us + 1);
}

struct mq_spread *
mq_spread_create (TALLOC_CTX *ctx, const char *host, const char *data_centre,
                  uint64_t seed)
{
  struct mq_spread *spread
      = mq_check_alloc (talloc_zero (ctx, struct mq_spread));

  spread->host = mq_check_alloc (talloc_strdup (spread, host));
  spread->data_centre = mq_check_alloc (talloc_strdup (spread, data_centre));
  spread->random = seed;
  spread->poll.pause_ms = MQ_STORE_RETRY_MS;
  spread->tell_pause_ms = MQ_CONFIG_NOTIFY_MS;
  return spread;
}

void
mq_spread_destroy (struct mq_spread *spread)
{
  talloc_free (spread);
}

/* Peer table, sorted by handle.  */

/* Index of PEER, or the index at which to insert it.  */
static size_t
peer_index (const struct mq_spread *spread, uint32_t peer)
{
  size_t low = 0;
  size_t high = spread->peer_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (spread->peers[middle].peer < peer)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct spread_peer *
find_peer (const struct mq_spread *spread, uint32_t peer)
{
  size_t index = peer_index (spread, peer);

  if (index == spread->peer_count || spread->peers[index].peer != peer)
    return NULL;
  return &spread->peers[index];
}

static struct spread_peer *
add_peer (struct mq_spread *spread, uint32_t peer)
{
  size_t index = peer_index (spread, peer);
  struct spread_peer *row;

  if (spread->peer_count == spread->peer_room)
    {
      spread->peer_room = spread->peer_room == 0 ? 16 : 2 * spread->peer_room;
      spread->peers = mq_check_alloc (talloc_realloc (
          spread, spread->peers, struct spread_peer, spread->peer_room));
    }
  row = &spread->peers[index];
  memmove (row + 1, row, (spread->peer_count - index) * sizeof *row);
  memset (row, 0, sizeof *row);
  row->peer = peer;
  spread->peer_count++;
  return row;
}

static void
remove_peer (struct mq_spread *spread, struct spread_peer *row)
{
  size_t index = (size_t)(row - spread->peers);

  spread->peer_count--;
  memmove (row, row + 1, (spread->peer_count - index) * sizeof *row);
}

/* Messages.  */

static void
send_config (const struct mq_spread *spread, struct mq_actions *actions,
             uint32_t peer, enum mq_message_type type)
{
  struct mq_message message = { .type = type };

  message.config_version = spread->version;
  message.u.config.version = spread->version;
  message.u.config.text = type == MQ_MSG_CONFIG_TEXT ? spread->text : "";
  mq_actions_send (actions, peer, &message);
}

/* Fetching from peers.  */

/* True when the peer reported a higher version than the local one and was
   not queried within MQ_CONFIG_GET_TIMEOUT_MS.  Without a local version any
   peer qualifies.  */
static bool
should_query_peer (const struct mq_spread *spread,
                   const struct spread_peer *row, uint64_t now_us)
{
  uint64_t pause_us = (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;

  if (row->asked != 0 && now_us < row->asked_us + pause_us)
    return false;
  return spread->version == 0 || row->heard > spread->version;
}

/* Prefers the least recently queried peer, so that an unresponsive peer with
   the highest version does not block the others.  */
static bool
query_precedes (const struct spread_peer *a, const struct spread_peer *b)
{
  if (b == NULL || a->asked != b->asked)
    return b == NULL || a->asked < b->asked;
  return a->heard > b->heard;
}

/* Sends CONFIG_GET to one peer unless a request is pending.  The search
   starts at a random peer to balance the load of a new version.  */
static void
query_peer (struct mq_spread *spread, uint64_t now_us,
            struct mq_actions *actions)
{
  struct spread_peer *best = NULL;
  size_t start;

  spread->ask_us = 0;
  if (spread->get.waiting || spread->peer_count == 0)
    return;
  start = mq_random_below (&spread->random, (uint32_t)spread->peer_count);
  for (size_t i = 0; i < spread->peer_count; i++)
    {
      struct spread_peer *row
          = &spread->peers[(start + i) % spread->peer_count];

      if (!should_query_peer (spread, row, now_us))
        continue;
      if (query_precedes (row, best))
        best = row;
    }
  if (best == NULL)
    return;
  best->asked = ++spread->counters.gets_sent;
  best->asked_us = now_us;
  spread->get.waiting = true;
  spread->get.peer = best->peer;
  spread->get.until_us
      = now_us + (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;
  send_config (spread, actions, best->peer, MQ_MSG_CONFIG_GET);
}

/* True when a peer has a higher version, or when there is no local version
   and at least one peer.  */
static bool
is_behind (const struct mq_spread *spread)
{
  if (spread->version == 0)
    return spread->peer_count > 0;
  for (size_t i = 0; i < spread->peer_count; i++)
    if (spread->peers[i].heard > spread->version)
      return true;
  return false;
}

/* Ends the pending request after a reply, a disconnect or a timeout, and
   queries the next peer.  If none may be queried yet, schedules a retry.  */
static void
finish_get (struct mq_spread *spread, uint64_t now_us,
            struct mq_actions *actions)
{
  spread->get.waiting = false;
  query_peer (spread, now_us, actions);
  if (!spread->get.waiting && is_behind (spread))
    spread->ask_us = now_us + (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;
}

/* Notifying peers.  */

/* Notifies up to MQ_CONFIG_NOTIFY_PEERS peers that have not reported this
   version and schedules the next group.  The interval doubles, because
   heartbeats show which peers received the version from others.  */
static void
notify_peers (struct mq_spread *spread, uint64_t now_us,
              struct mq_actions *actions)
{
  size_t notified = 0;
  size_t start;

  spread->tell_us = 0;
  if (spread->version == 0 || spread->peer_count == 0)
    return;
  start = mq_random_below (&spread->random, (uint32_t)spread->peer_count);
  for (size_t i = 0; i < spread->peer_count; i++)
    {
      struct spread_peer *row
          = &spread->peers[(start + i) % spread->peer_count];

      if (row->heard >= spread->version || row->told >= spread->version)
        continue;
      if (notified == MQ_CONFIG_NOTIFY_PEERS)
        {
          spread->tell_us
              = now_us + (uint64_t)spread->tell_pause_ms * US_PER_MS;
          if (spread->tell_pause_ms < MQ_CONFIG_POLL_SLOW_MS)
            spread->tell_pause_ms *= 2;
          return;
        }
      row->told = spread->version;
      notified++;
      spread->counters.haves_sent++;
      send_config (spread, actions, row->peer, MQ_MSG_CONFIG_HAVE);
    }
}

/* Accepting a configuration.  */

static void
log_config_change (struct mq_spread *spread, struct mq_actions *actions)
{
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_STATE);

  action->u.state.change = MQ_STATE_CONFIG;
  action->u.state.number = spread->version;
  action->u.state.subject = "";
}

/* Accepts TEXT if VERSION is higher than the local one; returns true then.
   Two texts with the same version are possible only if the table was restored
   from an old backup.  Processes could then run different configurations; the
   hash detects that, and texts_conflicting counts it.  */
bool
spread_adopt_config (struct mq_spread *spread, uint64_t version,
                     const char *text, size_t len, struct mq_actions *actions)
{
  uint64_t hash = mq_hash_bytes (text, len, version);

  if (version == spread->version && version != 0 && hash != spread->text_hash)
    spread->counters.texts_conflicting++;
  if (version <= spread->version)
    return false;
  talloc_free (spread->text);
  spread->text = mq_check_alloc (talloc_strndup (spread, text, len));
  spread->text_hash = hash;
  spread->version = version;
  spread->counters.rises++;
  log_config_change (spread, actions);
  return true;
}

/* After a new version: notifies peers and queries those that are ahead.  */
void
spread_on_new_config (struct mq_spread *spread, uint64_t now_us,
                      struct mq_actions *actions)
{
  spread->poll.pause_ms = MQ_STORE_RETRY_MS;
  spread->tell_pause_ms = MQ_CONFIG_NOTIFY_MS;
  notify_peers (spread, now_us, actions);
  if (!spread->get.waiting && is_behind (spread))
    query_peer (spread, now_us, actions);
}

/* Hosts.  */

static bool
can_poll_table (const struct mq_spread *spread, const struct mq_host *host)
{
  return !host->leaving
         && strcmp (host->data_centre, spread->data_centre) == 0;
}

/* True when fewer than MQ_CONFIG_POLLERS hosts of this data centre have a
   higher rendezvous weight.  */
static bool
is_poller (const struct mq_spread *spread, const struct mq_host_list *hosts)
{
  uint64_t own = mq_rendezvous_weight (spread->host, POLLER_KEY);
  bool listed = false;
  size_t above = 0;

  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct mq_host *host = &hosts->items[i];

      if (!can_poll_table (spread, host))
        continue;
      if (strcmp (host->name, spread->host) == 0)
        listed = true;
      else if (mq_rendezvous_weight (host->name, POLLER_KEY) > own)
        above++;
    }
  return listed && above < MQ_CONFIG_POLLERS;
}

static void
handle_hosts (struct mq_spread *spread, const struct mq_spread_input *input)
{
  bool poller = is_poller (spread, input->u.hosts);

  if (poller && !spread->poller && spread->poll.id == 0)
    {
      uint64_t due
          = spread_jittered_time (spread, input->now_us, MQ_CONFIG_POLL_MS);

      spread->poll.next_us = earlier (spread->poll.next_us, due);
    }
  spread->poller = poller;
}

/* Messages from peers.  */

static void
handle_text (struct mq_spread *spread, const struct mq_spread_input *input,
             struct mq_actions *actions)
{
  const struct mq_config_msg *config = &input->u.message->u.config;
  size_t len = strlen (config->text);
  bool accepted = false;

  if (len == 0 || len > MQ_TEXT_MAX_BYTES)
    spread->counters.texts_bad++;
  else
    accepted = spread_adopt_config (spread, config->version, config->text, len,
                                    actions);
  if (!accepted)
    spread->counters.texts_dropped++;
  if (spread->get.waiting && spread->get.peer == input->peer)
    spread->get.waiting = false;
  if (accepted)
    spread_on_new_config (spread, input->now_us, actions);
  else if (!spread->get.waiting)
    finish_get (spread, input->now_us, actions);
}

/* Without a configuration, the reply is CONFIG_HAVE with version 0.  */
static void
handle_get (struct mq_spread *spread, const struct mq_spread_input *input,
            struct mq_actions *actions)
{
  struct spread_peer *row = find_peer (spread, input->peer);

  if (spread->version == 0)
    {
      send_config (spread, actions, input->peer, MQ_MSG_CONFIG_HAVE);
      return;
    }
  if (row != NULL && row->told < spread->version)
    row->told = spread->version;
  spread->counters.texts_sent++;
  send_config (spread, actions, input->peer, MQ_MSG_CONFIG_TEXT);
}

static uint64_t
message_config_version (const struct mq_message *message)
{
  bool config = message->type == MQ_MSG_CONFIG_HAVE
                || message->type == MQ_MSG_CONFIG_TEXT
                || message->type == MQ_MSG_CONFIG_GET;

  if (config && message->u.config.version > message->config_version)
    return message->u.config.version;
  return message->config_version;
}

static void
handle_message (struct mq_spread *spread, const struct mq_spread_input *input,
                struct mq_actions *actions)
{
  struct spread_peer *row = find_peer (spread, input->peer);
  uint64_t shown = message_config_version (input->u.message);

  if (row != NULL && shown > row->heard)
    row->heard = shown;
  switch (input->u.message->type)
    {
    case MQ_MSG_CONFIG_GET:
      handle_get (spread, input, actions);
      break;
    case MQ_MSG_CONFIG_TEXT:
      handle_text (spread, input, actions);
      break;
    case MQ_MSG_CONFIG_HAVE:
      /* Reply to CONFIG_GET: the peer has no newer version.  */
      if (spread->get.waiting && spread->get.peer == input->peer
          && shown <= spread->version)
        finish_get (spread, input->now_us, actions);
      break;
    default:
      break;
    }
  if (row != NULL && shown > spread->version && !spread->get.waiting)
    query_peer (spread, input->now_us, actions);
  if (!spread->get.waiting && spread->ask_us == 0 && shown > spread->version)
    spread->ask_us
        = input->now_us + (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;
}

static void
handle_peer_up (struct mq_spread *spread, const struct mq_spread_input *input,
                struct mq_actions *actions)
{
  if (find_peer (spread, input->peer) == NULL)
    add_peer (spread, input->peer);
  if (spread->version == 0)
    query_peer (spread, input->now_us, actions);
  else if (spread->tell_us == 0)
    notify_peers (spread, input->now_us, actions);
}

static void
handle_peer_down (struct mq_spread *spread,
                  const struct mq_spread_input *input,
                  struct mq_actions *actions)
{
  struct spread_peer *row = find_peer (spread, input->peer);

  if (row != NULL)
    remove_peer (spread, row);
  if (spread->get.waiting && spread->get.peer == input->peer)
    finish_get (spread, input->now_us, actions);
}

static void
handle_tick (struct mq_spread *spread, uint64_t now_us,
             struct mq_actions *actions)
{
  if (spread->poll.id != 0 && now_us >= spread->poll.until_us)
    {
      spread->poll.id = 0;
      spread->counters.polls_failed++;
      spread->poll.next_us = now_us;
    }
  if (spread->poll.id == 0 && now_us >= spread->poll.next_us)
    spread_poll_table (spread, now_us, actions);
  if (spread->get.waiting && now_us >= spread->get.until_us)
    {
      spread->counters.gets_timed_out++;
      finish_get (spread, now_us, actions);
    }
  if (spread->ask_us != 0 && now_us >= spread->ask_us && !spread->get.waiting)
    finish_get (spread, now_us, actions);
  if (spread->tell_us != 0 && now_us >= spread->tell_us)
    notify_peers (spread, now_us, actions);
}

void
mq_spread_handle (struct mq_spread *spread,
                  const struct mq_spread_input *input,
                  struct mq_actions *actions)
{
  switch (input->type)
    {
    case MQ_SPREAD_TICK:
      handle_tick (spread, input->now_us, actions);
      break;
    case MQ_SPREAD_HOSTS:
      handle_hosts (spread, input);
      break;
    case MQ_SPREAD_PEER_UP:
      handle_peer_up (spread, input, actions);
      break;
    case MQ_SPREAD_PEER_DOWN:
      handle_peer_down (spread, input, actions);
      break;
    case MQ_SPREAD_MESSAGE:
      handle_message (spread, input, actions);
      break;
    case MQ_SPREAD_STORE:
      spread_handle_store (spread, input, actions);
      break;
    }
}

/* Returns 0, which is always due, until the first tick has polled.  */
uint64_t
mq_spread_next_tick (const struct mq_spread *spread)
{
  uint64_t next
      = spread->poll.id != 0 ? spread->poll.until_us : spread->poll.next_us;

  if (next == 0)
    return 0;
  if (spread->get.waiting)
    next = earlier (next, spread->get.until_us);
  else
    next = earlier (next, spread->ask_us);
  return earlier (next, spread->tell_us);
}

uint64_t
mq_spread_version (const struct mq_spread *spread)
{
  return spread->version;
}

const char *
mq_spread_text (const struct mq_spread *spread)
{
  return spread->text;
}

uint64_t
mq_spread_peer_version (const struct mq_spread *spread, uint32_t peer)
{
  const struct spread_peer *row = find_peer (spread, peer);

  return row == NULL ? 0 : row->heard;
}

const struct mq_spread_counters *
mq_spread_read_counters (const struct mq_spread *spread)
{
  return &spread->counters;
}
