/* spread.c - how a configuration reaches every process within seconds.

   Three ways in: the table's row (polled), a peer's text (asked for after
   the peer showed a higher version) and nothing else.  Whatever comes, the
   version and the text only rise together.  On a rise the peers are told a
   few at a time; each of them fetches, tells its own peers in turn, and who
   shows the version meanwhile is not told again, so the text travels along
   a tree without anyone laying one out.
   Needs: spread.h, id.h, limits.h.  */

#include "spread_state.h"
#include "id.h"
#include "limits.h"
#include "memory.h"
#include <string.h>

/* Key of the rendezvous hash that picks the pollers of a data centre.  */
#define POLLER_KEY 0x636f6e666967ULL

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  if (a == 0)
    return b;
  if (b == 0)
    return a;
  return a < b ? a : b;
}

/* A time around MS from now, between half and one and a half of it.  */
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

/* Peers: a table sorted by handle.  */

/* Place of PEER in the table, or where it would stand.  */
static size_t
peer_place (const struct mq_spread *spread, uint32_t peer)
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
  size_t place = peer_place (spread, peer);

  if (place == spread->peer_count || spread->peers[place].peer != peer)
    return NULL;
  return &spread->peers[place];
}

static struct spread_peer *
add_peer (struct mq_spread *spread, uint32_t peer)
{
  size_t place = peer_place (spread, peer);
  struct spread_peer *row;

  if (spread->peer_count == spread->peer_room)
    {
      spread->peer_room = spread->peer_room == 0 ? 16 : 2 * spread->peer_room;
      spread->peers = mq_check_alloc (talloc_realloc (
          spread, spread->peers, struct spread_peer, spread->peer_room));
    }
  row = &spread->peers[place];
  memmove (row + 1, row, (spread->peer_count - place) * sizeof *row);
  memset (row, 0, sizeof *row);
  row->peer = peer;
  spread->peer_count++;
  return row;
}

static void
remove_peer (struct mq_spread *spread, struct spread_peer *row)
{
  size_t place = (size_t)(row - spread->peers);

  spread->peer_count--;
  memmove (row, row + 1, (spread->peer_count - place) * sizeof *row);
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

/* Asking peers.  */

/* True when ROW may have a higher version than ours and was not asked a
   moment ago.  Without any version of our own everybody is worth asking.  */
static bool
should_query_peer (const struct mq_spread *spread,
                   const struct spread_peer *row, uint64_t now_us)
{
  uint64_t pause_us = (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;

  if (row->asked != 0 && now_us < row->asked_us + pause_us)
    return false;
  return spread->version == 0 || row->heard > spread->version;
}

/* Who was not asked for the longest time goes first, so that a mute peer is
   not asked for ever because it shows the highest version.  */
static bool
query_precedes (const struct spread_peer *a, const struct spread_peer *b)
{
  if (b == NULL || a->asked != b->asked)
    return b == NULL || a->asked < b->asked;
  return a->heard > b->heard;
}

/* Asks one peer, unless an answer is still awaited.  The search starts at a
   random peer, so that the load of a rise spreads.  */
static void
ask (struct mq_spread *spread, uint64_t now_us, struct mq_actions *actions)
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

/* True when a peer showed a version above ours, or nobody showed any.  */
static bool
behind (const struct mq_spread *spread)
{
  if (spread->version == 0)
    return spread->peer_count > 0;
  for (size_t i = 0; i < spread->peer_count; i++)
    if (spread->peers[i].heard > spread->version)
      return true;
  return false;
}

/* The peer that was asked answered, went away or kept silent: the next one
   is asked, at the latest when every peer may be asked again.  */
static void
finish_get (struct mq_spread *spread, uint64_t now_us,
            struct mq_actions *actions)
{
  spread->get.waiting = false;
  ask (spread, now_us, actions);
  if (!spread->get.waiting && behind (spread))
    spread->ask_us = now_us + (uint64_t)MQ_CONFIG_GET_TIMEOUT_MS * US_PER_MS;
}

/* Telling peers.  */

/* Tells a few peers that did not show this version yet, and sets when the
   next few are due.  The pauses double: by the third group nearly everybody
   has heard of it from somebody, and the beats show who has.  */
static void
tell (struct mq_spread *spread, uint64_t now_us, struct mq_actions *actions)
{
  size_t told = 0;
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
      if (told == MQ_CONFIG_NOTIFY_PEERS)
        {
          spread->tell_us
              = now_us + (uint64_t)spread->tell_pause_ms * US_PER_MS;
          if (spread->tell_pause_ms < MQ_CONFIG_POLL_SLOW_MS)
            spread->tell_pause_ms *= 2;
          return;
        }
      row->told = spread->version;
      told++;
      spread->counters.haves_sent++;
      send_config (spread, actions, row->peer, MQ_MSG_CONFIG_HAVE);
    }
}

/* Rising.  */

static void
state_line (struct mq_spread *spread, struct mq_actions *actions)
{
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_STATE);

  action->u.state.change = MQ_STATE_CONFIG;
  action->u.state.number = spread->version;
  action->u.state.subject = "";
}

/* Takes TEXT in when its version is above ours.  Two texts under one version
   must never be: apply is a compare-and-swap of the row.  If it happens all
   the same (a table restored from an old copy), each process would run on
   the one it met first without knowing; the hash makes that seen.  */
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
  state_line (spread, actions);
  return true;
}

/* After a rise: who is still ahead is asked, the others are told.  */
void
spread_on_new_config (struct mq_spread *spread, uint64_t now_us,
                      struct mq_actions *actions)
{
  spread->poll.pause_ms = MQ_STORE_RETRY_MS;
  spread->tell_pause_ms = MQ_CONFIG_NOTIFY_MS;
  tell (spread, now_us, actions);
  if (!spread->get.waiting && behind (spread))
    ask (spread, now_us, actions);
}

/* Hosts.  */

static bool
can_poll_table (const struct mq_spread *spread, const struct mq_host *host)
{
  return !host->leaving
         && strcmp (host->data_centre, spread->data_centre) == 0;
}

/* This host polls when fewer than MQ_CONFIG_POLLERS hosts of its data centre
   have a higher weight.  */
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

/* Peers' messages.  */

static void
handle_text (struct mq_spread *spread, const struct mq_spread_input *input,
             struct mq_actions *actions)
{
  const struct mq_config_msg *config = &input->u.message->u.config;
  size_t len = strlen (config->text);
  bool rose = false;

  if (len == 0 || len > MQ_TEXT_MAX_BYTES)
    spread->counters.texts_bad++;
  else
    rose = spread_adopt_config (spread, config->version, config->text, len,
                                actions);
  if (!rose)
    spread->counters.texts_dropped++;
  if (spread->get.waiting && spread->get.peer == input->peer)
    spread->get.waiting = false;
  if (rose)
    spread_on_new_config (spread, input->now_us, actions);
  else if (!spread->get.waiting)
    finish_get (spread, input->now_us, actions);
}

/* A peer that has nothing answers GET with CONFIG_HAVE of version 0.  */
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
      /* In answer to our GET: it has nothing that we lack.  */
      if (spread->get.waiting && spread->get.peer == input->peer
          && shown <= spread->version)
        finish_get (spread, input->now_us, actions);
      break;
    default:
      break;
    }
  if (row != NULL && shown > spread->version && !spread->get.waiting)
    ask (spread, input->now_us, actions);
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
    ask (spread, input->now_us, actions);
  else if (spread->tell_us == 0)
    tell (spread, input->now_us, actions);
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
    tell (spread, now_us, actions);
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

/* 0, which is always due, until the first tick has polled.  */
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
