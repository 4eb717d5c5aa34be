/* relay.c - links between routing hosts.

   Needs: relay_state.h, memory.h, timer.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/listen.h"
#include "net/timer.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts that one call is tried at.  */
#define TRIES_MAX 2U
/* Seed of the hash by which parts are given to writers.  */
#define WRITER_SEED 3U
/* Links that other hosts may keep to this one.  */
#define LINKS_MAX 256U

/**
 * struct mq_relay_call - a call that another host makes for us
 * @ask: its frame, packed
 * @link: that it was sent on, NULL: none yet
 * @sent: some host may have done it
 * @address: the host that is to make it, NULL: any
 * @wait_ms: for its answer
 */
struct mq_relay_call
{
  struct mq_relay *relay;
  struct mq_relay_call *next;
  uint64_t id;
  bool commit;
  struct mq_bytes frame;
  struct mq_relay_link *link;
  struct mq_timer *timer;
  uint32_t tries;
  bool sent;
  char *address;
  uint32_t wait_ms;
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
  struct mq_relay_link *link;
  uint64_t id;
};

static void try_call (struct mq_relay_call *call);

struct host *
relay_host_of (struct mq_relay *relay, const struct mq_relay_link *link)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (host->link == link)
      return host;
  return NULL;
}

/* HOST makes no calls for a while.  */
static void
note_bad (struct host *host)
{
  host->bad_until_ms = mq_clock_ms () + MQ_RELAY_BAD_MS;
}

/* HOST gives no answer: it is left alone for a while.  */
void
relay_note_gone (struct host *host)
{
  note_bad (host);
  host->gone_until_ms = host->bad_until_ms;
  relay_forget_loan (host);
}

void
relay_send_frame (struct mq_relay *relay, struct mq_relay_link *link,
                  const struct mq_relay_frame *frame)
{
  struct mq_bytes bytes = mq_relay_frame_pack (relay, frame);

  mq_relay_link_send (link, bytes);
  talloc_free (bytes.data);
}

/* Calls that were sent on the link go to another host, if they may.  */
static void
fail_calls (struct mq_relay *relay, const struct mq_relay_link *link)
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

/* Nothing more comes over LINK: its errands have nobody to tell.  */
static void
drop_link (struct mq_relay *relay, struct mq_relay_link *link)
{
  struct host *host = relay_host_of (relay, link);

  if (host == NULL)
    relay->accepted--;
  else
    {
      host->link = NULL;
      relay_note_gone (host);
    }
  for (struct errand *errand = relay->errands; errand != NULL;
       errand = errand->next)
    if (errand->link == link)
      errand->link = NULL;
  fail_calls (relay, link);
  mq_relay_link_destroy (link);
}

static void
on_link_ended (struct mq_relay_link *link, void *user)
{
  drop_link (user, link);
}

/* Errands: calls that we make for another host */

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
  struct mq_relay_frame frame = { .kind = MQ_RELAY_TOLD };

  remove_errand (errand);
  if (errand->link != NULL)
    {
      frame.u.told.id = errand->id;
      frame.u.told.result = *result;
      relay_send_frame (errand->relay, errand->link, &frame);
    }
  talloc_free (errand);
}

static void
serve_ask (struct mq_relay *relay, struct mq_relay_link *link,
           const struct mq_relay_ask *ask)
{
  struct errand *errand = mq_check_alloc (talloc_zero (relay, struct errand));

  errand->relay = relay;
  errand->link = link;
  errand->id = ask->id;
  errand->next = relay->errands;
  relay->errands = errand;
  relay->served++;
  if (ask->commit && relay->write != NULL)
    relay->write (ask->entries, ask->count, on_errand_done, errand,
                  relay->write_user);
  else if (ask->commit)
    mq_rows_commit (relay->rows, ask->entries, ask->count, on_errand_done,
                    errand);
  else
    mq_rows_get (relay->rows, ask->entries[0].table, ask->entries[0].part,
                 ask->entries[0].key, on_errand_done, errand);
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

static struct mq_relay_call *
find_call (const struct mq_relay *relay, const struct mq_relay_link *link,
           uint64_t id)
{
  for (struct mq_relay_call *call = relay->calls; call != NULL;
       call = call->next)
    if (call->id == id && call->link == link)
      return call;
  return NULL;
}

static void
take_told (struct mq_relay *relay, const struct mq_relay_link *link,
           const struct mq_relay_told *told)
{
  struct mq_relay_call *call = find_call (relay, link, told->id);
  struct host *host = relay_host_of (relay, link);

  if (call == NULL)
    return;
  if (told->result.status != MQ_STORE_DOWN)
    {
      end_call (call, &told->result);
      return;
    }
  /* That host can't reach the table either.  */
  if (host != NULL)
    note_bad (host);
  if (host != NULL)
    host->slow_until_ms = host->bad_until_ms;
  call->link = NULL;
  try_call (call);
}

static void
take_quota_ask (struct mq_relay *relay, struct mq_relay_link *link,
                const struct mq_relay_quota_ask *ask)
{
  struct host *host = relay_host_of (relay, link);

  if (host != NULL && ask->recalled)
    host->recalled = true;
  relay->owner.quota_ask (ask, link, relay->owner.user);
}

static void
take_quota (struct mq_relay *relay, const struct mq_relay_link *link,
            const struct mq_relay_quota_told *told)
{
  const struct host *host = relay_host_of (relay, link);

  if (host != NULL)
    relay->owner.quota_told (told, host->address, relay->owner.user);
}

static void
on_frame (struct mq_relay_link *link, const struct mq_relay_frame *frame,
          void *user)
{
  struct mq_relay *relay = user;
  const struct mq_relay_owner *owner = &relay->owner;

  switch (frame->kind)
    {
    case MQ_RELAY_ASK:
      serve_ask (relay, link, &frame->u.ask);
      return;
    case MQ_RELAY_TOLD:
      take_told (relay, link, &frame->u.told);
      return;
    case MQ_RELAY_SYNC:
      owner->sync (&frame->u.sync, link, owner->user);
      return;
    case MQ_RELAY_STATE:
      owner->state (&frame->u.state, owner->user);
      return;
    case MQ_RELAY_LOAN_ASK:
      owner->loan_ask (&frame->u.loan_ask, link, owner->user);
      return;
    case MQ_RELAY_LOAN_TOLD:
      relay_take_loan (relay, link, &frame->u.loan_told);
      return;
    case MQ_RELAY_LOAN_BACK:
      owner->loan_back (&frame->u.loan_back, owner->user);
      return;
    case MQ_RELAY_QUOTA_ASK:
      take_quota_ask (relay, link, &frame->u.quota_ask);
      return;
    case MQ_RELAY_QUOTA_RECALL:
      owner->quota_recall (&frame->u.quota_recall, link, owner->user);
      return;
    case MQ_RELAY_QUOTA_TOLD:
      take_quota (relay, link, &frame->u.quota_told);
      return;
    case MQ_RELAY_OTHER:
      return;
    }
}

void
mq_relay_answer (struct mq_relay *relay, struct mq_relay_link *link,
                 const struct mq_relay_state *state)
{
  struct mq_relay_frame frame = { .kind = MQ_RELAY_STATE, .u.state = *state };

  relay_send_frame (relay, link, &frame);
}

/* Links */

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_relay *relay = data;
  struct mq_relay_link_owner owner
      = { .frame = on_frame, .ended = on_link_ended, .user = relay };
  int fd = accept4 (relay->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  if (relay->accepted >= LINKS_MAX)
    close (fd);
  else if (mq_relay_link_accept (relay, ev, fd, &owner) != NULL)
    relay->accepted++;
}

/* Link to HOST, opened if need be; NULL when that fails at once.  */
struct mq_relay_link *
relay_open_link (struct mq_relay *relay, struct host *host)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_relay_link_owner owner
      = { .frame = on_frame, .ended = on_link_ended, .user = relay };

  if (host->link == NULL)
    host->link
        = mq_relay_link_open (relay, relay->ev, host->address, &owner, &error);
  if (host->link == NULL)
    relay_note_gone (host);
  return host->link;
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

static void give_up_call (struct mq_relay_call *call);

/* The host that gathers writes is slow; its link serves others as it is.  */
static void
end_slow (struct mq_relay_call *call)
{
  struct host *host = relay_find_host (call->relay, call->address);

  if (host != NULL)
    host->slow_until_ms = mq_clock_ms () + MQ_RELAY_BAD_MS;
  give_up_call (call);
}

static void
on_call_timeout (void *data)
{
  struct mq_relay_call *call = data;
  struct mq_relay_link *link = call->link;

  call->timer = NULL;
  if (call->address != NULL)
    end_slow (call);
  else if (link != NULL)
    drop_link (call->relay, link);
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

static struct host *
host_for (struct mq_relay_call *call)
{
  if (call->address == NULL)
    return choose_host (call->relay);
  return call->tries == 0 ? relay_find_host (call->relay, call->address)
                          : NULL;
}

/* A write that some host may have done is not sent to another one: whoever
   asked looks first whether it was done.  */
static void
try_call (struct mq_relay_call *call)
{
  struct mq_relay *relay = call->relay;
  struct host *host = NULL;
  struct mq_relay_link *link = NULL;

  TALLOC_FREE (call->timer);
  while (call->tries < TRIES_MAX && !(call->commit && call->sent)
         && link == NULL && (host = host_for (call)) != NULL)
    {
      call->tries++;
      link = relay_open_link (relay, host);
    }
  if (link == NULL)
    {
      call->timer = mq_timer_add (call, relay->ev, 0, on_no_host, call);
      return;
    }
  call->link = link;
  call->sent = true;
  relay->asked++;
  mq_relay_link_send (link, call->frame);
  call->timer
      = mq_timer_add (call, relay->ev, call->wait_ms, on_call_timeout, call);
}

static struct mq_relay_call *
make_call (struct mq_relay *relay, const char *address, uint32_t wait,
           const struct mq_rows_entry *entries, size_t count, bool commit,
           mq_rows_done *done, void *user)
{
  struct mq_relay_call *call
      = mq_check_alloc (talloc_zero (relay, struct mq_relay_call));
  struct mq_relay_frame frame = { .kind = MQ_RELAY_ASK };

  call->relay = relay;
  call->id = ++relay->next_id;
  call->commit = commit;
  call->address = address == NULL ? NULL : mq_text_copy (call, address);
  call->wait_ms = wait;
  call->done = done;
  call->user = user;
  frame.u.ask = (struct mq_relay_ask){
    .id = call->id, .commit = commit, .entries = entries, .count = count
  };
  call->frame = mq_relay_frame_pack (call, &frame);
  call->next = relay->calls;
  relay->calls = call;
  try_call (call);
  return call;
}

struct mq_relay_call *
mq_relay_commit (struct mq_relay *relay, const struct mq_rows_entry *entries,
                 size_t count, mq_rows_done *done, void *user)
{
  return make_call (relay, NULL, MQ_RELAY_CALL_MS, entries, count, true, done,
                    user);
}

struct mq_relay_call *
mq_relay_commit_at (struct mq_relay *relay, const char *address, uint32_t wait,
                    const struct mq_rows_entry *entries, size_t count,
                    mq_rows_done *done, void *user)
{
  return make_call (relay, address, wait, entries, count, true, done, user);
}

void
mq_relay_set_write (struct mq_relay *relay, mq_relay_write *write, void *user)
{
  relay->write = write;
  relay->write_user = user;
}

const char *
mq_relay_writer (const struct mq_relay *relay, const char *part)
{
  uint64_t key = mq_hash_bytes (part, strlen (part), WRITER_SEED);
  uint64_t most = mq_rendezvous_weight (relay->own_address, key);
  uint64_t now = mq_clock_ms ();
  const struct host *found = NULL;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      uint64_t weight;

      if (!host->near || !host->listed || host->slow_until_ms > now
          || host->bad_until_ms > now)
        continue;
      weight = mq_rendezvous_weight (host->address, key);
      if (weight <= most)
        continue;
      most = weight;
      found = host;
    }
  return found == NULL ? NULL : found->address;
}

struct mq_relay_call *
mq_relay_get (struct mq_relay *relay, const char *table, const char *part,
              const char *key, mq_rows_done *done, void *user)
{
  struct mq_rows_entry entry = { .table = table, .part = part, .key = key };

  return make_call (relay, NULL, MQ_RELAY_CALL_MS, &entry, 1, false, done,
                    user);
}

void
mq_relay_cancel (struct mq_relay_call *call)
{
  remove_call (call);
  talloc_free (call);
}

void
mq_relay_ask_sync (struct mq_relay *relay, const struct mq_relay_sync *sync)
{
  struct host *host = choose_host (relay);
  struct mq_relay_link *link
      = host == NULL ? NULL : relay_open_link (relay, host);
  struct mq_relay_frame frame = { .kind = MQ_RELAY_SYNC, .u.sync = *sync };

  if (link != NULL)
    relay_send_frame (relay, link, &frame);
}

/* Hosts */

struct host *
relay_find_host (const struct mq_relay *relay, const char *address)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (strcmp (host->address, address) == 0)
      return host;
  return NULL;
}

/* NULL for this host itself.  */
static struct host *
add_host (struct mq_relay *relay, const char *address)
{
  struct host *host = relay_find_host (relay, address);

  if (host != NULL || strcmp (address, relay->own_address) == 0
      || address[0] == '\0')
    return host;
  host = mq_check_alloc (talloc_zero (relay, struct host));
  host->address = mq_text_copy (host, address);
  host->next = relay->hosts;
  relay->hosts = host;
  return host;
}

bool
mq_relay_ask_quota (struct mq_relay *relay, const char *address,
                    const struct mq_relay_quota_ask *ask)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_ASK, .u.quota_ask = *ask };
  struct host *host = add_host (relay, address);
  struct mq_relay_link *link
      = host == NULL ? NULL : relay_open_link (relay, host);

  if (link == NULL)
    return false;
  relay_send_frame (relay, link, &frame);
  return true;
}

uint32_t
mq_relay_recall_quota (struct mq_relay *relay, uint64_t server)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_RECALL,
          .u.quota_recall = { server, relay->own_address } };
  uint32_t missing = 0;

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      struct mq_relay_link *link;

      if (!host->listed || host->recalled)
        continue;
      missing++;
      link = relay_open_link (relay, host);
      if (link != NULL)
        relay_send_frame (relay, link, &frame);
    }
  return missing;
}

void
mq_relay_surrender (struct mq_relay *relay, struct mq_relay_link *link,
                    const struct mq_relay_quota_ask *ask)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_ASK, .u.quota_ask = *ask };

  relay_send_frame (relay, link, &frame);
}

void
mq_relay_tell_quota (struct mq_relay *relay, struct mq_relay_link *link,
                     const struct mq_relay_quota_told *told)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_TOLD, .u.quota_told = *told };

  relay_send_frame (relay, link, &frame);
}

void
mq_relay_add_seed (struct mq_relay *relay, const char *address)
{
  struct host *host = add_host (relay, address);

  if (host != NULL)
    host->seed = true;
}

void
mq_relay_list_begin (struct mq_relay *relay)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    host->listed = false;
}

void
mq_relay_list_host (struct mq_relay *relay, const char *address, bool near)
{
  struct host *host = add_host (relay, address);

  if (host == NULL)
    return;
  host->listed = true;
  host->near = near;
}

/* A host with an open link has been heard of just now; it stays until the
   link ends.  */
void
mq_relay_list_end (struct mq_relay *relay)
{
  struct host **at = &relay->hosts;

  while (*at != NULL)
    {
      struct host *host = *at;

      if (host->listed || host->seed || host->link != NULL)
        {
          at = &host->next;
          continue;
        }
      *at = host->next;
      talloc_free (host);
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
