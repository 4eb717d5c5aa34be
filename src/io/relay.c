/* relay.c - links between routing hosts.

   Needs: relay.h, tcp.h, frame.h, timer.h, clock.h, proto/relay.pb-c.h.  */

#include "relay.h"
#include "../../proto/relay.pb-c.h"
#include "../core/id.h"
#include "clock.h"
#include "frame.h"
#include "listen.h"
#include "tcp.h"
#include "timer.h"
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes that a host doesn't acknowledge for so long mean that it is gone.  */
#define SILENT_MS 600U
/* Hosts that one call is tried at.  */
#define TRIES_MAX 2U
/* Links that other hosts may keep to this one.  */
#define LINKS_MAX 256U

/**
 * struct link - a connection, opened by either side
 * @host: that it was opened to, NULL: it was accepted
 */
struct link
{
  struct mq_relay *relay;
  struct link *next;
  struct host *host;
  struct mq_tcp *tcp;
  struct mq_frame_reader *reader;
  bool busy;
  bool dead;
};

/**
 * struct host - a host that may be asked
 * @link: NULL: none is open
 * @bad_until_ms: it is not asked before
 */
struct host
{
  struct host *next;
  char *address;
  struct link *link;
  uint64_t bad_until_ms;
};

/**
 * struct mq_relay_call - a call that another host makes for us
 * @ask: its frame, packed
 * @link: that it was sent on, NULL: none yet
 * @sent: some host may have done it
 */
struct mq_relay_call
{
  struct mq_relay *relay;
  struct mq_relay_call *next;
  uint64_t id;
  bool commit;
  struct mq_bytes frame;
  struct link *link;
  struct mq_timer *timer;
  uint32_t tries;
  bool sent;
  mq_rows_done *done;
  void *user;
};

/**
 * struct errand - a call that we make for another host
 * @link: to answer on, NULL: it is gone
 */
struct errand
{
  struct mq_relay *relay;
  struct errand *next;
  struct link *link;
  uint64_t id;
};

struct mq_relay
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_rows *rows;
  struct mq_relay_owner owner;
  struct host *hosts;
  struct link *links;
  size_t link_count;
  struct mq_relay_call *calls;
  struct errand *errands;
  char *own_address;
  uint64_t next_id;
  uint64_t random;
  uint64_t asked;
  uint64_t served;
  int fd;
};

static void try_call (struct mq_relay_call *call);

/* Links */

static void
write_frame (struct link *link, const Mqrelay__Frame *frame)
{
  size_t len = mqrelay__frame__get_packed_size (frame);
  uint8_t *bytes = talloc_size (link, len + MQ_FRAME_HEADER_BYTES);

  if (bytes == NULL)
    return;
  for (size_t i = 0; i < MQ_FRAME_HEADER_BYTES; i++)
    bytes[i] = (uint8_t)(len >> (8 * (MQ_FRAME_HEADER_BYTES - 1 - i)));
  mqrelay__frame__pack (frame, bytes + MQ_FRAME_HEADER_BYTES);
  mq_tcp_write (link->tcp, bytes, len + MQ_FRAME_HEADER_BYTES);
  talloc_free (bytes);
}

static void
unlink_link (struct link *link)
{
  for (struct link **at = &link->relay->links; *at != NULL; at = &(*at)->next)
    if (*at == link)
      {
        *at = link->next;
        link->relay->link_count--;
        return;
      }
}

/* Calls that were sent on the link go to another host, if they may.  */
static void
fail_calls (struct mq_relay *relay, const struct link *link)
{
  for (struct mq_relay_call *call = relay->calls; call != NULL;
       call = call->next)
    {
      if (call->link != link)
        continue;
      call->link = NULL;
      try_call (call);
    }
}

static void
drop_link (struct link *link)
{
  struct mq_relay *relay = link->relay;

  if (link->dead)
    return;
  link->dead = true;
  unlink_link (link);
  if (link->host != NULL)
    {
      link->host->link = NULL;
      link->host->bad_until_ms = mq_clock_ms () + MQ_RELAY_BAD_MS;
    }
  for (struct errand *errand = relay->errands; errand != NULL;
       errand = errand->next)
    if (errand->link == link)
      errand->link = NULL;
  talloc_steal (relay, link->tcp);
  mq_tcp_destroy (link->tcp);
  fail_calls (relay, link);
  if (!link->busy)
    talloc_free (link);
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  (void)tcp;
  (void)end;
  drop_link (user);
}

/* Errands: calls that we make for another host */

static void
fill_entry (Mqrelay__Entry *to, const struct mq_rows_entry *from)
{
  mqrelay__entry__init (to);
  to->table = (char *)(uintptr_t)(from->table == NULL ? "" : from->table);
  to->part = (char *)(uintptr_t)(from->part == NULL ? "" : from->part);
  to->key = (char *)(uintptr_t)from->key;
  to->version = from->version;
  to->value.data = from->value.data;
  to->value.len = from->value.len;
  to->remove = from->remove;
}

/* Entries of a frame, below CTX.  */
static Mqrelay__Entry **
make_entries (TALLOC_CTX *ctx, const struct mq_rows_entry *entries,
              size_t count)
{
  Mqrelay__Entry *all = talloc_array (ctx, Mqrelay__Entry, count + 1);
  Mqrelay__Entry **list = talloc_array (ctx, Mqrelay__Entry *, count + 1);

  if (all == NULL || list == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      fill_entry (&all[i], &entries[i]);
      list[i] = &all[i];
    }
  return list;
}

static void
remove_errand (struct errand *errand)
{
  for (struct errand **at = &errand->relay->errands; *at != NULL;
       at = &(*at)->next)
    if (*at == errand)
      {
        *at = errand->next;
        return;
      }
}

static void
on_errand_done (const struct mq_rows_result *result, void *user)
{
  struct errand *errand = user;
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Told told = MQRELAY__TOLD__INIT;

  remove_errand (errand);
  if (errand->link != NULL)
    {
      frame.body_case = MQRELAY__FRAME__BODY_TOLD;
      frame.told = &told;
      told.id = errand->id;
      told.status = result->status;
      told.version = result->version;
      told.rows = make_entries (errand, result->rows, result->row_count);
      told.n_rows = told.rows == NULL ? 0 : result->row_count;
      write_frame (errand->link, &frame);
    }
  talloc_free (errand);
}

static struct mq_rows_entry *
read_entries (TALLOC_CTX *ctx, Mqrelay__Entry *const *list, size_t count)
{
  struct mq_rows_entry *entries
      = talloc_zero_array (ctx, struct mq_rows_entry, count + 1);

  for (size_t i = 0; entries != NULL && i < count; i++)
    entries[i] = (struct mq_rows_entry){
      .table = list[i]->table,
      .part = list[i]->part,
      .key = list[i]->key,
      .version = list[i]->version,
      .value = { list[i]->value.data, list[i]->value.len },
      .remove = list[i]->remove,
    };
  return entries;
}

static void
serve_ask (struct link *link, const Mqrelay__Ask *ask)
{
  struct mq_relay *relay = link->relay;
  struct errand *errand = talloc_zero (relay, struct errand);
  struct mq_rows_entry *entries
      = read_entries (errand, ask->entries, ask->n_entries);

  if (entries == NULL || ask->n_entries == 0)
    {
      talloc_free (errand);
      return;
    }
  errand->relay = relay;
  errand->link = link;
  errand->id = ask->id;
  errand->next = relay->errands;
  relay->errands = errand;
  relay->served++;
  if (ask->commit)
    mq_rows_commit (relay->rows, entries, ask->n_entries, on_errand_done,
                    errand);
  else
    mq_rows_get (relay->rows, entries[0].table, entries[0].part,
                 entries[0].key, on_errand_done, errand);
}

/* Calls that another host makes for us */

static void
remove_call (struct mq_relay_call *call)
{
  for (struct mq_relay_call **at = &call->relay->calls; *at != NULL;
       at = &(*at)->next)
    if (*at == call)
      {
        *at = call->next;
        return;
      }
}

static void
end_call (struct mq_relay_call *call, const struct mq_rows_result *result)
{
  remove_call (call);
  TALLOC_FREE (call->timer);
  call->done (result, call->user);
  talloc_free (call);
}

static void
take_told (struct mq_relay *relay, const Mqrelay__Told *told,
           struct link *link)
{
  for (struct mq_relay_call *call = relay->calls; call != NULL;
       call = call->next)
    {
      struct mq_rows_result result = { .status = MQ_STORE_DOWN };

      if (call->id != told->id || call->link != link)
        continue;
      if (told->status <= MQ_STORE_LOST)
        result.status = (enum mq_store_status)told->status;
      if (result.status == MQ_STORE_DOWN)
        {
          /* That host can't reach the table either.  */
          if (link->host != NULL)
            link->host->bad_until_ms = mq_clock_ms () + MQ_RELAY_BAD_MS;
          call->link = NULL;
          try_call (call);
          return;
        }
      result.version = told->version;
      result.rows = read_entries (call, told->rows, told->n_rows);
      result.row_count = result.rows == NULL ? 0 : told->n_rows;
      end_call (call, &result);
      return;
    }
}

/* States */

static void
take_state (struct mq_relay *relay, const Mqrelay__State *state)
{
  struct mq_fleet_member *workers = talloc_zero_array (
      relay, struct mq_fleet_member, state->n_workers + 1);

  if (workers == NULL)
    return;
  for (size_t i = 0; i < state->n_workers; i++)
    workers[i] = (struct mq_fleet_member){
      .id = state->workers[i]->id,
      .service = state->workers[i]->service,
      .address = state->workers[i]->address,
      .data_centre = state->workers[i]->data_centre,
      .slots = state->workers[i]->slots,
      .leaving = state->workers[i]->leaving,
    };
  relay->owner.state (
      (struct mq_bytes){ state->config.data, state->config.len }, workers,
      state->n_workers, relay->owner.user);
  talloc_free (workers);
}

static Mqrelay__Worker **
make_workers (TALLOC_CTX *ctx, const struct mq_fleet_member *workers,
              size_t count)
{
  Mqrelay__Worker *all = talloc_array (ctx, Mqrelay__Worker, count + 1);
  Mqrelay__Worker **list = talloc_array (ctx, Mqrelay__Worker *, count + 1);

  if (all == NULL || list == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      mqrelay__worker__init (&all[i]);
      all[i].id = (char *)(uintptr_t)workers[i].id;
      all[i].service = (char *)(uintptr_t)workers[i].service;
      all[i].address = (char *)(uintptr_t)workers[i].address;
      all[i].data_centre = (char *)(uintptr_t)workers[i].data_centre;
      all[i].slots = workers[i].slots;
      all[i].leaving = workers[i].leaving;
      list[i] = &all[i];
    }
  return list;
}

void
mq_relay_state (struct mq_relay *relay, void *link, struct mq_bytes config,
                const struct mq_fleet_member *workers, size_t count)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__State state = MQRELAY__STATE__INIT;
  TALLOC_CTX *ctx = talloc_new (relay);

  frame.body_case = MQRELAY__FRAME__BODY_STATE;
  frame.state = &state;
  state.config.data = config.data;
  state.config.len = config.len;
  state.workers = make_workers (ctx, workers, count);
  state.n_workers = state.workers == NULL ? 0 : count;
  if (state.workers != NULL)
    write_frame (link, &frame);
  talloc_free (ctx);
}

/* Frames */

static void
take_frame (struct link *link, const Mqrelay__Frame *frame)
{
  struct mq_relay *relay = link->relay;

  switch (frame->body_case)
    {
    case MQRELAY__FRAME__BODY_ASK:
      serve_ask (link, frame->ask);
      return;
    case MQRELAY__FRAME__BODY_TOLD:
      take_told (relay, frame->told, link);
      return;
    case MQRELAY__FRAME__BODY_SYNC:
      relay->owner.sync (frame->sync->config_version, link, relay->owner.user);
      return;
    case MQRELAY__FRAME__BODY_STATE:
      take_state (relay, frame->state);
      return;
    default:
      return;
    }
}

/* False when the bytes are no frames: the link is to be dropped.  */
static bool
take_bytes (struct link *link, const char *data, size_t len)
{
  const uint8_t *bytes;
  size_t size;
  enum mq_frame_next next;

  if (!mq_frame_reader_feed (link->reader, (const uint8_t *)data, len))
    return false;
  while ((next = mq_frame_reader_next (link->reader, MQ_RELAY_FRAME_MAX,
                                       &bytes, &size))
         == MQ_NEXT_FRAME)
    {
      Mqrelay__Frame *frame = mqrelay__frame__unpack (NULL, size, bytes);

      if (frame == NULL)
        return false;
      take_frame (link, frame);
      mqrelay__frame__free_unpacked (frame, NULL);
      if (link->dead)
        return true;
    }
  return next == MQ_NEXT_PARTIAL && mq_frame_reader_rest (link->reader);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct link *link = user;
  bool good;

  (void)tcp;
  link->busy = true;
  good = take_bytes (link, data, len);
  link->busy = false;
  if (link->dead)
    talloc_free (link);
  else if (!good)
    drop_link (link);
}

static struct link *
make_link (struct mq_relay *relay, struct host *host)
{
  struct link *link = talloc_zero (relay, struct link);

  if (link == NULL)
    return NULL;
  link->relay = relay;
  link->host = host;
  link->reader = mq_frame_reader_create (link);
  link->next = relay->links;
  relay->links = link;
  relay->link_count++;
  return link;
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_relay *relay = data;
  int fd = accept4 (relay->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct mq_tcp_owner owner = { .data = on_data, .ended = on_ended };
  struct link *link;

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  link = relay->link_count < LINKS_MAX ? make_link (relay, NULL) : NULL;
  if (link == NULL)
    {
      close (fd);
      return;
    }
  owner.user = link;
  link->tcp = mq_tcp_accept (link, ev, fd, &owner);
  if (link->tcp != NULL)
    {
      mq_tcp_watch_silence (link->tcp, SILENT_MS);
      return;
    }
  unlink_link (link);
  talloc_free (link);
}

/* Link to HOST, opened if need be; NULL when that fails at once.  */
static struct link *
open_link (struct mq_relay *relay, struct host *host)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_tcp_owner owner = { .data = on_data, .ended = on_ended };
  struct link *link = host->link;

  if (link != NULL)
    return link;
  link = make_link (relay, host);
  if (link == NULL)
    return NULL;
  owner.user = link;
  link->tcp = mq_tcp_open (link, relay->ev, host->address, SILENT_MS, &owner,
                           &error);
  if (link->tcp == NULL)
    {
      unlink_link (link);
      talloc_free (link);
      host->bad_until_ms = mq_clock_ms () + MQ_RELAY_BAD_MS;
      return NULL;
    }
  host->link = link;
  return link;
}

/* A host that may be asked now: one with an open link before others, else any
   of them by chance.  */
static struct host *
choose_host (struct mq_relay *relay)
{
  uint64_t now = mq_clock_ms ();
  struct host *chosen = NULL;
  uint32_t seen = 0;

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      if (host->bad_until_ms > now)
        continue;
      if (host->link != NULL)
        return host;
      if (mq_random_below (&relay->random, ++seen) == 0)
        chosen = host;
    }
  return chosen;
}

static void
on_call_timeout (void *data)
{
  struct mq_relay_call *call = data;
  struct link *link = call->link;

  call->timer = NULL;
  if (link != NULL)
    drop_link (link);
  else
    try_call (call);
}

static void
give_up_call (struct mq_relay_call *call)
{
  struct mq_rows_result result = { .status = MQ_STORE_DOWN };

  if (call->commit && call->sent)
    result.status = MQ_STORE_LOST;
  end_call (call, &result);
}

static void
on_no_host (void *data)
{
  struct mq_relay_call *call = data;

  call->timer = NULL;
  give_up_call (call);
}

/* A write that some host may have done is not sent to another one: whoever
   asked looks first whether it was done.  */
static void
try_call (struct mq_relay_call *call)
{
  struct mq_relay *relay = call->relay;
  struct host *host = NULL;
  struct link *link = NULL;

  TALLOC_FREE (call->timer);
  while (call->tries < TRIES_MAX && !(call->commit && call->sent)
         && link == NULL && (host = choose_host (relay)) != NULL)
    {
      call->tries++;
      link = open_link (relay, host);
    }
  if (link == NULL)
    {
      call->timer = mq_timer_add (call, relay->ev, 0, on_no_host, call);
      return;
    }
  call->link = link;
  call->sent = true;
  relay->asked++;
  mq_tcp_write (link->tcp, call->frame.data, call->frame.len);
  call->timer = mq_timer_add (call, relay->ev, MQ_RELAY_CALL_MS,
                              on_call_timeout, call);
}

static struct mq_relay_call *
make_call (struct mq_relay *relay, const struct mq_rows_entry *entries,
           size_t count, bool commit, mq_rows_done *done, void *user)
{
  struct mq_relay_call *call = talloc_zero (relay, struct mq_relay_call);
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Ask ask = MQRELAY__ASK__INIT;
  size_t len;

  /* Whoever asks counts on an outcome; without memory there is none.  */
  if (call == NULL)
    abort ();
  call->relay = relay;
  call->id = ++relay->next_id;
  call->commit = commit;
  call->done = done;
  call->user = user;
  frame.body_case = MQRELAY__FRAME__BODY_ASK;
  frame.ask = &ask;
  ask.id = call->id;
  ask.commit = commit;
  ask.entries = make_entries (call, entries, count);
  ask.n_entries = count;
  len = mqrelay__frame__get_packed_size (&frame);
  call->frame.len = len + MQ_FRAME_HEADER_BYTES;
  call->frame.data = talloc_size (call, call->frame.len);
  if (call->frame.data == NULL)
    abort ();
  for (size_t i = 0; i < MQ_FRAME_HEADER_BYTES; i++)
    call->frame.data[i]
        = (uint8_t)(len >> (8 * (MQ_FRAME_HEADER_BYTES - 1 - i)));
  mqrelay__frame__pack (&frame, call->frame.data + MQ_FRAME_HEADER_BYTES);
  call->next = relay->calls;
  relay->calls = call;
  try_call (call);
  return call;
}

struct mq_relay_call *
mq_relay_commit (struct mq_relay *relay, const struct mq_rows_entry *entries,
                 size_t count, mq_rows_done *done, void *user)
{
  return make_call (relay, entries, count, true, done, user);
}

struct mq_relay_call *
mq_relay_get (struct mq_relay *relay, const char *table, const char *part,
              const char *key, mq_rows_done *done, void *user)
{
  struct mq_rows_entry entry = { .table = table, .part = part, .key = key };

  return make_call (relay, &entry, 1, false, done, user);
}

void
mq_relay_cancel (struct mq_relay_call *call)
{
  remove_call (call);
  talloc_free (call);
}

void
mq_relay_sync (struct mq_relay *relay, uint64_t config_version)
{
  struct host *host = choose_host (relay);
  struct link *link = host == NULL ? NULL : open_link (relay, host);
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Sync sync = MQRELAY__SYNC__INIT;

  if (link == NULL)
    return;
  frame.body_case = MQRELAY__FRAME__BODY_SYNC;
  frame.sync = &sync;
  sync.config_version = config_version;
  write_frame (link, &frame);
}

/* Hosts */

void
mq_relay_add_host (struct mq_relay *relay, const char *address)
{
  struct host *host;

  if (strcmp (address, relay->own_address) == 0 || address[0] == '\0')
    return;
  for (host = relay->hosts; host != NULL; host = host->next)
    if (strcmp (host->address, address) == 0)
      return;
  host = talloc_zero (relay, struct host);
  if (host == NULL)
    return;
  host->address = talloc_strdup (host, address);
  host->next = relay->hosts;
  relay->hosts = host;
}

void
mq_relay_drop_host (struct mq_relay *relay, const char *address)
{
  for (struct host **at = &relay->hosts; *at != NULL; at = &(*at)->next)
    if (strcmp ((*at)->address, address) == 0)
      {
        struct host *host = *at;

        *at = host->next;
        if (host->link != NULL)
          drop_link (host->link);
        talloc_free (host);
        return;
      }
}

size_t
mq_relay_host_count (const struct mq_relay *relay)
{
  size_t count = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    count++;
  return count;
}

static int
close_port (struct mq_relay *relay)
{
  TALLOC_FREE (relay->event);
  if (relay->fd >= 0)
    close (relay->fd);
  return 0;
}

struct mq_relay *
mq_relay_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                 const char *address, struct mq_rows *rows,
                 const struct mq_relay_owner *owner, struct mq_error *error)
{
  struct mq_relay *relay = talloc_zero (ctx, struct mq_relay);

  if (relay == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, address, NULL);
      return NULL;
    }
  relay->ev = ev;
  relay->rows = rows;
  relay->owner = *owner;
  relay->random = mq_clock_random ();
  relay->fd = mq_listen_open (address, error);
  if (relay->fd < 0)
    {
      talloc_free (relay);
      return NULL;
    }
  relay->own_address = talloc_asprintf (
      relay, "%.*s:%u", (int)(strrchr (address, ':') - address), address,
      mq_listen_port (relay->fd));
  relay->event
      = tevent_add_fd (ev, relay, relay->fd, TEVENT_FD_READ, on_accept, relay);
  talloc_set_destructor (relay, close_port);
  return relay;
}

void
mq_relay_destroy (struct mq_relay *relay)
{
  talloc_free (relay);
}

const char *
mq_relay_address (const struct mq_relay *relay)
{
  return relay->own_address;
}

uint64_t
mq_relay_asked (const struct mq_relay *relay)
{
  return relay->asked;
}

uint64_t
mq_relay_served (const struct mq_relay *relay)
{
  return relay->served;
}
