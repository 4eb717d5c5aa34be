/* router_permit.c - permits for requests of organisations that have a request
   limit.

   A request waits here for a permit from the host that issues them for its
   organisation.  Requests that arrive in one iteration of the event loop share
   a message to the issuer.  quota.h decides what is requested, issued and
   used.

   Needs: router_state.h, quota.h, id.h, memory.h, clock.h.  */

#include "router_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "core/organisation/quota.h"
#include "net/clock.h"
#include <string.h>

#define RETRY_MS 50U
/* Longest time that a request of a program that has begun waits while the
   limit is reached: the bucket fills meanwhile, and its program would lose
   what it has run.  */
#define BEGUN_WAIT_MS 600U
#define REQUEST_TIMEOUT_MS 150U
/* Longest time that a request waits for a permit, whichever hosts are asked
   meanwhile.  */
#define WAIT_MAX_MS (MQ_QUOTA_ISSUER_TIMEOUT_MS + REQUEST_TIMEOUT_MS)
/* Messages after which an issuer knows that a rate is given up: the first may
   acknowledge an older reply than the last one.  */
#define RETURN_REPLIES 2U
/* Minimum interval of reading the leases because an issuer does not answer. */
#define UNANSWERED_LIST_MS 2000U
/* An organisation without requests for this long is no longer polled for.  */
#define IDLE_MS 5000U
/* An organisation without requests for this long is dropped; any rate lent for
   it has expired by then.  */
#define EVICT_AFTER_MS 60000U
#define EVICT_MAX 64U
/* Organisations per message to an issuer.  */
#define ORGS_PER_MESSAGE_MAX 256U
/* A message id is the send time in ms, shifted above a sequence number of this
   many bits.  */
#define SEQUENCE_BITS 16U

/**
 * struct share - this host's quota state of one organisation
 * @slot: lease slot of the organisation
 * @first: queued requests, oldest first
 * @active_ms: time of the last request
 * @requested_ms: time of the last message to the issuer that named it
 * @returned_ms: time at which a standing rate was given up or taken away
 * @returns_left: answered messages until the issuer knows of it
 * @issuer: address of the host that issued last, NULL if none
 */
struct share
{
  struct mq_quota_share quota;
  struct mq_permits *permits;
  char *name;
  uint32_t slot;
  struct mq_permit *first;
  uint64_t active_ms;
  uint64_t requested_ms;
  uint64_t returned_ms;
  uint32_t returns_left;
  char *issuer;
};

/**
 * struct mq_permit - a queued request
 * @need: what the program needs then, if it is its first request
 * @message_id: id of the message that requests its permit, 0 if not sent yet
 * @since_ms: time it was queued
 */
struct mq_permit
{
  struct share *share;
  struct mq_permit *next;
  enum mq_permit_kind kind;
  struct mq_program_need need;
  uint64_t message_id;
  uint64_t since_ms;
  mq_permit_handler *callback;
  void *user;
};

/**
 * struct contact - a host that issues permits
 * @sent_ms: time of the last message to it
 * @listed_ms: time at which the leases were read because it does not answer
 */
struct contact
{
  struct contact *next;
  char *address;
  struct mq_quota_contact quota;
  uint64_t sent_ms;
  uint64_t listed_ms;
};

/**
 * struct mq_permits - permits that this host requests
 * @run: random id of this run of the process
 * @send_timer: sends messages for new requests, once per event loop iteration
 * @retry_timer: retries queued requests
 * @sequence: sequence number of the last message
 * @queued: queued requests of all organisations
 */
struct mq_permits
{
  struct mq_router *router;
  uint64_t run;
  struct mq_idmap *shares;
  struct contact *contacts;
  struct mq_timer *send_timer;
  struct mq_timer *retry_timer;
  uint64_t sequence;
  size_t queued;
};

struct mq_permits *
mq_permits_create (struct mq_router *router)
{
  struct mq_permits *permits
      = mq_check_alloc (talloc_zero (router, struct mq_permits));

  permits->router = router;
  permits->run = mq_clock_random ();
  router->issuing = mq_issuing_create (router, permits->run);
  permits->shares = mq_check_alloc (mq_idmap_create (permits));
  return permits;
}

/* Contacts and shares */

static struct contact *
find_contact (const struct mq_permits *permits, const char *address)
{
  struct contact *contact = permits->contacts;

  while (contact != NULL && strcmp (contact->address, address) != 0)
    contact = contact->next;
  return contact;
}

static struct contact *
get_contact (struct mq_permits *permits, const char *address)
{
  struct contact *contact = find_contact (permits, address);

  if (contact != NULL)
    return contact;
  contact = mq_check_alloc (talloc_zero (permits, struct contact));
  contact->address = mq_text_copy (contact, address);
  contact->next = permits->contacts;
  permits->contacts = contact;
  return contact;
}

/* Issuer of SHARE's permits; NULL if unknown.  */
static struct contact *
contact_of (const struct share *share)
{
  const char *address
      = mq_reserve_issuer (share->permits->router, share->slot);

  return address == NULL ? NULL : get_contact (share->permits, address);
}

static struct share *
get_share (struct mq_permits *permits, const char *name)
{
  struct mq_id id = mq_id_from_text (name);
  struct share *share = mq_idmap_find (permits->shares, id, 0);

  if (share != NULL)
    return share;
  share = mq_check_alloc (talloc_zero (permits, struct share));
  share->permits = permits;
  share->name = mq_text_copy (share, name);
  share->slot = mq_reserve_slot (name);
  mq_idmap_put (permits->shares, id, 0, share);
  return share;
}

/* Queued requests */

static void
unlink_permit (struct mq_permit *permit)
{
  struct mq_permit **at = &permit->share->first;

  while (*at != permit)
    at = &(*at)->next;
  *at = permit->next;
  permit->share->permits->queued--;
}

static void
complete_permit (struct mq_permit *permit, enum mq_permit_state state,
                 uint32_t retry_ms)
{
  struct mq_router *router = permit->share->permits->router;

  unlink_permit (permit);
  if (state == MQ_PERMIT_GRANTED)
    router->counters.permits_used++;
  permit->callback (state, retry_ms, permit->user);
  talloc_free (permit);
}

void
mq_permit_cancel (struct mq_permit *permit)
{
  if (permit == NULL)
    return;
  unlink_permit (permit);
  talloc_free (permit);
}

static void on_send_timer (void *data);
static void on_retry_timer (void *data);

static void
set_timers (struct mq_permits *permits)
{
  struct tevent_context *ev = permits->router->ev;

  if (permits->send_timer == NULL)
    permits->send_timer
        = mq_timer_add (permits, ev, 0, on_send_timer, permits);
  if (permits->retry_timer == NULL)
    permits->retry_timer
        = mq_timer_add (permits, ev, RETRY_MS, on_retry_timer, permits);
}

static struct mq_permit *
enqueue (struct share *share, enum mq_permit_kind kind,
         const struct mq_program_need *need, mq_permit_handler *callback,
         void *user)
{
  struct mq_permit *permit
      = mq_check_alloc (talloc_zero (share->permits, struct mq_permit));
  struct mq_permit **at = &share->first;

  *permit = (struct mq_permit){ .share = share,
                                .kind = kind,
                                .need = *need,
                                .since_ms = mq_clock_boot_ms (),
                                .callback = callback,
                                .user = user };
  while (*at != NULL)
    at = &(*at)->next;
  *at = permit;
  share->permits->queued++;
  set_timers (share->permits);
  return permit;
}

/* Has the issuer told that this host holds no standing rate any more, even if
   the organisation makes no requests.

   Failure: an issuer that counts the rate can't release its lease.  */
static void
report_return (struct share *share, uint64_t now)
{
  share->returned_ms = now;
  share->returns_left = RETURN_REPLIES;
}

/* Gives up the standing rate if this host is shutting down.

   Failure: an issuer can't release its lease while it counts rates of hosts
   that are gone, and nobody issues until the lease expires.  */
static void
return_standing (struct share *share, uint64_t now)
{
  if (!share->permits->router->stopping || share->quota.standing == 0)
    return;
  share->quota.standing = 0;
  report_return (share, now);
}

/* Takes a permit that this host has.  */
static enum mq_quota_decision
acquire (struct share *share, enum mq_permit_kind kind,
         const struct mq_program_need *need, uint64_t now)
{
  bool begins = kind == MQ_PERMIT_BEGINS;
  struct contact *contact = contact_of (share);
  const struct mq_quota_contact unknown_issuer = { 0 };
  enum mq_quota_decision decision;

  return_standing (share, now);
  if (contact == NULL)
    mq_quota_record_denial (&share->quota, now);
  decision = mq_quota_try_acquire (
      &share->quota, contact == NULL ? &unknown_issuer : &contact->quota,
      begins, now);
  if (decision == MQ_QUOTA_GRANTED && share->quota.on_standing_rate)
    share->permits->router->counters.permits_alone++;
  if (decision == MQ_QUOTA_GRANTED && kind != MQ_PERMIT_SINGLE)
    mq_quota_record_program (&share->quota, begins, need, now);
  return decision;
}

enum mq_permit_state
mq_permit_request (struct mq_router *router, const struct mq_org *org,
                   enum mq_permit_kind kind,
                   const struct mq_program_need *need,
                   mq_permit_handler *callback, void *user,
                   struct mq_permit **permit, uint32_t *retry_ms)
{
  uint64_t now = mq_clock_boot_ms ();
  struct share *share = get_share (router->permits, org->name);

  *permit = NULL;
  *retry_ms = 0;
  share->active_ms = now;
  set_timers (router->permits);
  switch (acquire (share, kind, need, now))
    {
    case MQ_QUOTA_GRANTED:
      router->counters.permits_used++;
      return MQ_PERMIT_GRANTED;
    case MQ_QUOTA_ASK_ISSUER:
      *permit = enqueue (share, kind, need, callback, user);
      return MQ_PERMIT_PENDING;
    case MQ_QUOTA_EXCEEDED:
      if (kind == MQ_PERMIT_CONTINUES)
        {
          *permit = enqueue (share, kind, need, callback, user);
          return MQ_PERMIT_PENDING;
        }
      *retry_ms = mq_quota_retry_after_ms (&share->quota,
                                           kind == MQ_PERMIT_BEGINS, now);
      return MQ_PERMIT_OVER_LIMIT;
    case MQ_QUOTA_NO_ISSUER:
      return MQ_PERMIT_UNKNOWN;
    }
  return MQ_PERMIT_UNKNOWN;
}

bool
mq_permit_would_refuse (struct mq_router *router, const struct mq_org *org,
                        enum mq_permit_kind kind, uint32_t *retry_ms)
{
  struct share *share = mq_idmap_find (router->permits->shares,
                                       mq_id_from_text (org->name), 0);
  uint64_t now = mq_clock_boot_ms ();
  bool begins = kind == MQ_PERMIT_BEGINS;

  if (kind == MQ_PERMIT_CONTINUES)
    return false;
  if (share == NULL || !mq_quota_is_exhausted (&share->quota, begins, now))
    return false;
  *retry_ms = mq_quota_retry_after_ms (&share->quota, begins, now);
  return true;
}

/* Requests to issuers */

static void
count_waiting (const struct mq_permit *permit,
               struct mq_quota_waiting *waiting)
{
  switch (permit->kind)
    {
    case MQ_PERMIT_BEGINS:
      waiting->begins++;
      mq_quota_add_program (&waiting->programs, &permit->need);
      return;
    case MQ_PERMIT_SINGLE:
      waiting->single++;
      waiting->need++;
      return;
    case MQ_PERMIT_CONTINUES:
      waiting->need++;
      return;
    }
}

static void
count_unsent (const struct share *share, struct mq_quota_waiting *waiting)
{
  *waiting = (struct mq_quota_waiting){ 0 };
  for (const struct mq_permit *at = share->first; at != NULL; at = at->next)
    if (at->message_id == 0)
      count_waiting (at, waiting);
}

static bool
is_active (const struct share *share, uint64_t now)
{
  return now - share->active_ms < IDLE_MS;
}

/* Active organisations are included periodically, even without queued
   requests, so that the issuer can size the rate it lends to this host, and
   more often while no issuer was found or a rate was given up.  */
static bool
is_due (const struct share *share, uint64_t now)
{
  bool often = share->quota.denied_ms != 0 || share->returns_left > 0;
  uint32_t interval_ms
      = often ? MQ_QUOTA_POLL_INTERVAL_MS : MQ_QUOTA_STANDING_REFRESH_MS;

  return (is_active (share, now) || share->quota.standing > 0
          || share->quota.surrendered > 0 || share->returns_left > 0)
         && now - share->requested_ms >= interval_ms;
}

static void
mark_sent (struct share *share, uint64_t message)
{
  for (struct mq_permit *at = share->first; at != NULL; at = at->next)
    if (at->message_id == 0)
      at->message_id = message;
}

static uint64_t
message_sent_ms (uint64_t message)
{
  return message >> SEQUENCE_BITS;
}

static void
request_locally (struct mq_permits *permits,
                 const struct mq_relay_quota_request *request)
{
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (permits));
  struct mq_relay_quota_reply reply
      = mq_issuing_reply (ctx, permits->router->issuing, request);

  mq_permits_on_reply (&reply, mq_relay_address (permits->router->relay),
                       permits->router);
  talloc_free (ctx);
}

/* Whether issuers may lend standing rates to this host: they can recall them,
   as it is listed and stays.  */
static bool
may_be_lent (const struct mq_router *router)
{
  return router->row_written && !router->stopping;
}

static void
send_message (struct mq_permits *permits, struct contact *contact, uint64_t id,
              const struct mq_quota_request *wants, size_t count, uint64_t now)
{
  struct mq_relay *relay = permits->router->relay;
  struct mq_relay_quota_request request
      = { .id = id,
          .run_id = permits->run,
          .acked_ms = contact->quota.told_ms,
          .issuer_run_id = contact->quota.server,
          .wants = wants,
          .want_count = count,
          .listed = may_be_lent (permits->router) };

  contact->sent_ms = now;
  mq_quota_record_request (&contact->quota, now);
  permits->router->counters.permits_asked++;
  if (strcmp (contact->address, mq_relay_address (relay)) == 0)
    request_locally (permits, &request);
  else
    (void)mq_relay_request_quota (relay, contact->address, &request);
}

/* Sends CONTACT everything that is due.  A message without organisations
   serves as a keep-alive.  */
static void
send_due (struct mq_permits *permits, struct contact *contact, uint64_t now)
{
  struct mq_quota_request *wants = mq_check_alloc (talloc_zero_array (
      permits, struct mq_quota_request, ORGS_PER_MESSAGE_MAX));
  uint64_t id = now << SEQUENCE_BITS
                | (++permits->sequence & ((1U << SEQUENCE_BITS) - 1));
  size_t count = 0;
  size_t position = 0;
  bool needed = false;
  struct share *share;

  while (count < ORGS_PER_MESSAGE_MAX
         && (share = mq_idmap_next (permits->shares, &position)) != NULL)
    {
      struct mq_quota_waiting waiting;

      if (contact_of (share) != contact)
        continue;
      return_standing (share, now);
      count_unsent (share, &waiting);
      needed = needed || is_active (share, now) || share->quota.standing > 0;
      if (waiting.need + waiting.begins == 0 && !is_due (share, now))
        continue;
      wants[count++] = mq_quota_request (&share->quota, &contact->quota,
                                         share->name, &waiting, now);
      share->requested_ms = now;
      mark_sent (share, id);
    }
  if (count > 0
      || (needed && now - contact->sent_ms >= MQ_QUOTA_POLL_INTERVAL_MS))
    send_message (permits, contact, id, wants, count, now);
  talloc_free (wants);
}

/* Whether the leases may show another issuer for SHARE.  */
static bool
needs_issuer (const struct share *share, uint64_t now)
{
  struct contact *contact = contact_of (share);

  if (share->first == NULL && !is_active (share, now))
    return false;
  if (contact == NULL)
    return true;
  if (!mq_quota_issuer_unavailable (&contact->quota, now)
      || now - contact->listed_ms < UNANSWERED_LIST_MS)
    return false;
  contact->listed_ms = now;
  return true;
}

/* Looks up the issuers of active organisations, which creates their contacts,
   and sends all messages that are due.  */
static void
send_all_due (struct mq_permits *permits)
{
  uint64_t now = mq_clock_boot_ms ();
  size_t position = 0;
  const struct share *share;

  while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (needs_issuer (share, now))
      mq_reserve_refresh_issuer (permits->router, share->slot);
  for (struct contact *contact = permits->contacts; contact != NULL;
       contact = contact->next)
    send_due (permits, contact, now);
}

static void
on_send_timer (void *data)
{
  struct mq_permits *permits = data;

  permits->send_timer = NULL;
  send_all_due (permits);
}

/* Whether PERMIT is refused while the limit is reached.  */
static bool
is_refused (const struct mq_permit *permit, uint64_t now)
{
  return permit->kind != MQ_PERMIT_CONTINUES
         || now >= permit->since_ms + BEGUN_WAIT_MS;
}

static void
fail_if_old (struct mq_permit *permit, uint64_t now)
{
  if (now >= permit->since_ms + WAIT_MAX_MS)
    complete_permit (permit, MQ_PERMIT_UNKNOWN, 0);
}

/* Requeues requests whose message timed out, grants those that the standing
   rate covers and fails those without an issuer.  */
static void
retry_queued (struct share *share, uint64_t now)
{
  struct mq_permit *permit = share->first;

  while (permit != NULL)
    {
      struct mq_permit *next = permit->next;

      if (permit->message_id != 0
          && now >= message_sent_ms (permit->message_id) + REQUEST_TIMEOUT_MS)
        permit->message_id = 0;
      switch (acquire (share, permit->kind, &permit->need, now))
        {
        case MQ_QUOTA_GRANTED:
          complete_permit (permit, MQ_PERMIT_GRANTED, 0);
          break;
        case MQ_QUOTA_NO_ISSUER:
          complete_permit (permit, MQ_PERMIT_UNKNOWN, 0);
          break;
        case MQ_QUOTA_EXCEEDED:
          if (permit->kind == MQ_PERMIT_CONTINUES && is_refused (permit, now))
            complete_permit (
                permit, MQ_PERMIT_OVER_LIMIT,
                mq_quota_retry_after_ms (&share->quota, false, now));
          else
            fail_if_old (permit, now);
          break;
        case MQ_QUOTA_ASK_ISSUER:
          fail_if_old (permit, now);
          break;
        }
      permit = next;
    }
}

static void
on_retry_timer (void *data)
{
  struct mq_permits *permits = data;
  uint64_t now = mq_clock_boot_ms ();
  size_t position = 0;
  struct share *share;

  permits->retry_timer = NULL;
  mq_issuing_recall (permits->router->issuing);
  if (permits->queued > 0)
    while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
      retry_queued (share, now);
  send_all_due (permits);
  if (mq_idmap_count (permits->shares) > 0)
    permits->retry_timer = mq_timer_add (
        permits, permits->router->ev,
        permits->queued > 0 ? RETRY_MS : MQ_QUOTA_POLL_INTERVAL_MS,
        on_retry_timer, permits);
}

/* Replies from issuers */

static struct mq_permit *
find_in_message (const struct share *share, uint64_t message)
{
  struct mq_permit *at = share->first;

  while (at != NULL && at->message_id != message)
    at = at->next;
  return at;
}

/* The requests in MESSAGE are sent again.  */
static void
requeue_message (const struct share *share, uint64_t message)
{
  struct mq_permit *permit;

  while ((permit = find_in_message (share, message)) != NULL)
    permit->message_id = 0;
}

static void
grant_queued (struct share *share, const struct mq_quota_grant *gift,
              uint64_t message, uint64_t now)
{
  uint32_t need = gift->need;
  uint32_t begins = gift->begins;
  struct mq_permit *permit;

  while ((permit = find_in_message (share, message)) != NULL)
    {
      bool is_first = permit->kind == MQ_PERMIT_BEGINS;
      uint32_t *from = is_first ? &begins : &need;

      if (*from > 0)
        {
          (*from)--;
          complete_permit (permit, MQ_PERMIT_GRANTED, 0);
        }
      else if (is_refused (permit, now))
        complete_permit (
            permit, MQ_PERMIT_OVER_LIMIT,
            mq_quota_retry_after_ms (&share->quota, is_first, now));
      else
        permit->message_id = 0;
    }
}

static void
apply_grant (struct mq_permits *permits, const struct mq_quota_grant *gift,
             const struct mq_relay_quota_reply *reply, const char *address,
             bool in_time, uint64_t now)
{
  struct share *share = mq_idmap_find (
      permits->shares, mq_id_from_text (gift->organisation), 0);
  bool held;

  if (share == NULL)
    return;
  if (gift->unknown)
    mq_reserve_refresh_issuer (permits->router, share->slot);
  if (gift->unknown || !in_time)
    {
      if (gift->unknown)
        mq_quota_record_denial (&share->quota, now);
      requeue_message (share, reply->id);
      return;
    }
  if (share->returns_left > 0
      && message_sent_ms (reply->id) >= share->returned_ms)
    share->returns_left--;
  held = share->quota.standing > 0;
  if (share->issuer == NULL || strcmp (share->issuer, address) != 0)
    mq_text_replace (share, &share->issuer, address);
  mq_quota_apply_grant (&share->quota, gift, reply->issuer_run_id,
                        message_sent_ms (reply->id), now);
  if (held && share->quota.standing == 0)
    report_return (share, now);
  grant_queued (share, gift, reply->id, now);
}

void
mq_permits_on_reply (const struct mq_relay_quota_reply *reply,
                     const char *address, void *user)
{
  struct mq_router *router = user;
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct contact *contact = find_contact (permits, address);
  bool in_time;

  if (contact == NULL)
    return;
  in_time = mq_quota_record_reply (&contact->quota, reply->issuer_run_id,
                                   message_sent_ms (reply->id), reply->sent_ms,
                                   now);
  for (size_t i = 0; i < reply->gift_count; i++)
    apply_grant (permits, &reply->gifts[i], reply, address, in_time, now);
}

/* A restarted issuer recalls the rates that its earlier runs lent.  The reply
   lists every organisation with such a rate, since it releases all of
   them.  */
void
mq_permits_on_recall (const struct mq_relay_quota_recall *recall,
                      struct mq_relay_link *link, void *user)
{
  static const struct mq_quota_contact none = { 0 };
  static const struct mq_quota_waiting waiting = { 0 };
  struct mq_router *router = user;
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct mq_quota_request *wants = mq_check_alloc (talloc_zero_array (
      permits, struct mq_quota_request, mq_idmap_count (permits->shares) + 1));
  struct mq_relay_quota_request request = { .run_id = permits->run,
                                            .wants = wants,
                                            .listed = may_be_lent (router),
                                            .recalled = true };
  size_t position = 0;
  struct share *share;

  while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (share->issuer != NULL && strcmp (share->issuer, recall->address) == 0)
      {
        mq_quota_surrender (&share->quota, recall->issuer_run_id, now);
        wants[request.want_count++] = mq_quota_request (
            &share->quota, &none, share->name, &waiting, now);
      }
  mq_relay_send_recall_reply (router->relay, link, &request);
  talloc_free (wants);
}

void
mq_permits_sweep (struct mq_router *router)
{
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct share *found[EVICT_MAX];
  size_t count = 0;
  size_t position = 0;
  struct share *share;

  mq_issuing_sweep (router->issuing, now);
  while (count < EVICT_MAX
         && (share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (share->first == NULL && now - share->active_ms >= EVICT_AFTER_MS)
      found[count++] = share;
  for (size_t i = 0; i < count; i++)
    {
      mq_idmap_remove (permits->shares, mq_id_from_text (found[i]->name), 0);
      talloc_free (found[i]);
    }
}
