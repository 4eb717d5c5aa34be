/* router_permit.c - permits for requests of organisations that have a request
   limit.

   A request waits here for a permit from the host that issues them for its
   organisation.  Requests that arrive in one iteration of the event loop share
   a message to the issuer.  quota.h decides what is requested, issued and
   used.

   Needs: router_permit_state.h, id.h, memory.h, clock.h.  */

#include "router_permit_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"

#define RETRY_MS 50U
/* Longest time that a request of a program that has begun waits while the
   limit is reached: the bucket fills meanwhile, and its program would lose
   what it has run.  */
#define BEGUN_WAIT_MS 600U
#define REQUEST_TIMEOUT_MS 150U
/* Longest time that a request waits for a permit, whichever hosts are asked
   meanwhile.  */
#define WAIT_MAX_MS (MQ_QUOTA_ISSUER_TIMEOUT_MS + REQUEST_TIMEOUT_MS)
/* An organisation without requests for this long is dropped; any rate lent for
   it has expired by then.  */
#define EVICT_AFTER_MS 60000U
#define EVICT_MAX 64U

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

void
permit_complete (struct mq_permit *permit, enum mq_permit_state state,
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

/* Takes a permit that this host has.  */
static enum mq_quota_decision
acquire (struct share *share, enum mq_permit_kind kind,
         const struct mq_program_need *need, uint64_t now)
{
  bool begins = kind == MQ_PERMIT_BEGINS;
  struct contact *contact = permit_issuer (share);
  const struct mq_quota_contact unknown_issuer = { 0 };
  enum mq_quota_decision decision;

  permit_return_standing (share, now);
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

static void
on_send_timer (void *data)
{
  struct mq_permits *permits = data;

  permits->send_timer = NULL;
  permit_send_due (permits);
}

bool
permit_is_refused (const struct mq_permit *permit, uint64_t now)
{
  return permit->kind != MQ_PERMIT_CONTINUES
         || now >= permit->since_ms + BEGUN_WAIT_MS;
}

static void
fail_if_old (struct mq_permit *permit, uint64_t now)
{
  if (now >= permit->since_ms + WAIT_MAX_MS)
    permit_complete (permit, MQ_PERMIT_UNKNOWN, 0);
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
          && now >= permit_message_sent_ms (permit->message_id)
                        + REQUEST_TIMEOUT_MS)
        permit->message_id = 0;
      switch (acquire (share, permit->kind, &permit->need, now))
        {
        case MQ_QUOTA_GRANTED:
          permit_complete (permit, MQ_PERMIT_GRANTED, 0);
          break;
        case MQ_QUOTA_NO_ISSUER:
          permit_complete (permit, MQ_PERMIT_UNKNOWN, 0);
          break;
        case MQ_QUOTA_EXCEEDED:
          if (permit->kind == MQ_PERMIT_CONTINUES
              && permit_is_refused (permit, now))
            permit_complete (
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
  permit_send_due (permits);
  if (mq_idmap_count (permits->shares) > 0)
    permits->retry_timer = mq_timer_add (
        permits, permits->router->ev,
        permits->queued > 0 ? RETRY_MS : MQ_QUOTA_POLL_INTERVAL_MS,
        on_retry_timer, permits);
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
