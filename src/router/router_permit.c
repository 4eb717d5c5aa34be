/* router_permit.c - permits for requests of organisations that have a limit.

   A request waits here until the host that issues permits of its organisation
   has answered; those that come in one turn of the event loop are asked for
   together.  What is asked, issued and used is decided in quota.h.
   Needs: router_state.h, quota.h, id.h, memory.h, clock.h.  */

#include "router_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "core/organisation/quota.h"
#include "net/clock.h"
#include <string.h>

/* Pause between two looks at requests that wait.  */
#define LOOK_MS 50U
/* A question without an answer for so long is asked again.  */
#define ASK_AGAIN_MS 150U
/* An organisation that was not asked for in so long costs no questions.  */
#define IDLE_MS 5000U
/* One that was not asked for in so long is forgotten: nothing that it was
   lent is left.  */
#define FORGET_MS 60000U
#define FORGET_MAX 64U
/* Organisations of one question.  */
#define WANTS_MAX 256U
/* The time of a question stands in its number, above a count.  */
#define COUNT_BITS 16U

/**
 * struct share - an organisation whose requests come to this host
 * @slot: of its lease
 * @first: requests that wait, oldest first
 * @active_ms: when a request came last
 * @wanted_ms: when it was last in a question
 * @began_ms: when this host first had a request of it
 * @issuer: address of the host that issued last, NULL: none did
 */
struct share
{
  struct mq_quota_share quota;
  struct mq_permits *permits;
  char *name;
  uint32_t slot;
  struct mq_permit *first;
  uint64_t active_ms;
  uint64_t wanted_ms;
  uint64_t began_ms;
  char *issuer;
};

/**
 * struct mq_permit - a request that waits
 * @asked: question that asks for it, 0: none yet
 */
struct mq_permit
{
  struct share *share;
  struct mq_permit *next;
  bool begins;
  uint64_t asked;
  uint64_t since_ms;
  mq_permit_told *told;
  void *user;
};

/**
 * struct contact - a host that issues permits
 * @asked_ms: when it was asked last
 */
struct contact
{
  struct contact *next;
  char *address;
  struct mq_quota_contact quota;
  uint64_t asked_ms;
};

/**
 * struct mq_permits - what this host asks for and issues
 * @run: names this run of the host
 * @flush: asks for what waits at the end of this turn of the event loop
 * @look: looks at requests that wait for long
 * @waiting: how many wait
 * @unheard: listed hosts that may live on what an earlier run lent
 */
struct mq_permits
{
  struct mq_router *router;
  uint64_t run;
  struct mq_quota_issuer *issuer;
  struct mq_idmap *shares;
  struct contact *contacts;
  struct mq_timer *flush;
  struct mq_timer *look;
  uint64_t next_ask;
  size_t waiting;
  uint64_t unheard;
};

struct mq_permits *
mq_permits_create (struct mq_router *router)
{
  struct mq_permits *permits
      = mq_check_alloc (talloc_zero (router, struct mq_permits));

  permits->router = router;
  permits->run = mq_clock_random ();
  permits->unheard = UINT64_MAX;
  permits->issuer = mq_quota_issuer_create (permits);
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

/* A host that was never asked counts as heard of: it has time to answer.  */
static struct contact *
get_contact (struct mq_permits *permits, const char *address)
{
  struct contact *contact = find_contact (permits, address);

  if (contact != NULL)
    return contact;
  contact = mq_check_alloc (talloc_zero (permits, struct contact));
  contact->address = mq_text_copy (contact, address);
  contact->quota.answered_ms = mq_clock_boot_ms ();
  contact->next = permits->contacts;
  permits->contacts = contact;
  return contact;
}

/* The host that issues permits of SHARE, NULL: none is known.  */
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
  share->began_ms = mq_clock_boot_ms ();
  mq_idmap_put (permits->shares, id, 0, share);
  return share;
}

/* Requests that wait */

static void
unlink_permit (struct mq_permit *permit)
{
  struct mq_permit **at = &permit->share->first;

  while (*at != permit)
    at = &(*at)->next;
  *at = permit->next;
  permit->share->permits->waiting--;
}

static void
end_permit (struct mq_permit *permit, enum mq_permit_state state,
            uint32_t retry_ms)
{
  struct mq_router *router = permit->share->permits->router;

  unlink_permit (permit);
  if (state == MQ_PERMIT_GRANTED)
    router->counters.permits_used++;
  permit->told (state, retry_ms, permit->user);
  talloc_free (permit);
}

void
mq_permit_forget (struct mq_permit *permit)
{
  if (permit == NULL)
    return;
  unlink_permit (permit);
  talloc_free (permit);
}

static void recall_lent (struct mq_permits *permits);
static void on_flush (void *data);
static void on_look (void *data);

static void
set_timers (struct mq_permits *permits)
{
  struct tevent_context *ev = permits->router->ev;

  if (permits->flush == NULL)
    permits->flush = mq_timer_add (permits, ev, 0, on_flush, permits);
  if (permits->look == NULL)
    permits->look = mq_timer_add (permits, ev, LOOK_MS, on_look, permits);
}

static struct mq_permit *
add_waiting (struct share *share, bool begins, mq_permit_told *told,
             void *user)
{
  struct mq_permit *permit
      = mq_check_alloc (talloc_zero (share->permits, struct mq_permit));
  struct mq_permit **at = &share->first;

  *permit = (struct mq_permit){ .share = share,
                                .begins = begins,
                                .since_ms = mq_clock_boot_ms (),
                                .told = told,
                                .user = user };
  while (*at != NULL)
    at = &(*at)->next;
  *at = permit;
  share->permits->waiting++;
  set_timers (share->permits);
  return permit;
}

static enum mq_quota_answer
take (struct share *share, bool begins, uint64_t now)
{
  static const struct mq_quota_contact none = { 0 };
  struct contact *contact = contact_of (share);
  struct mq_quota_contact nobody = none;
  enum mq_quota_answer answer;

  /* An issuer that starts again does not find a host that leaves.  */
  if (share->permits->router->leaving)
    share->quota.standing = 0;
  /* Whoever is to issue may show up soon after this host has begun.  */
  nobody.answered_ms = share->began_ms;
  answer = mq_quota_take (
      &share->quota, contact == NULL ? &nobody : &contact->quota, begins, now);
  if (answer == MQ_QUOTA_PERMIT && share->quota.alone)
    share->permits->router->counters.permits_alone++;
  return answer;
}

enum mq_permit_state
mq_permit_ask (struct mq_router *router, const struct mq_org *org, bool begins,
               mq_permit_told *told, void *user, struct mq_permit **permit,
               uint32_t *retry_ms)
{
  uint64_t now = mq_clock_boot_ms ();
  struct share *share = get_share (router->permits, org->name);

  *permit = NULL;
  *retry_ms = 0;
  share->active_ms = now;
  switch (take (share, begins, now))
    {
    case MQ_QUOTA_PERMIT:
      router->counters.permits_used++;
      set_timers (router->permits);
      return MQ_PERMIT_GRANTED;
    case MQ_QUOTA_ASK:
      *permit = add_waiting (share, begins, told, user);
      return MQ_PERMIT_WAITS;
    case MQ_QUOTA_OVER:
      *retry_ms = mq_quota_wait_ms (&share->quota, begins, now);
      return MQ_PERMIT_OVER;
    case MQ_QUOTA_ALONE:
      return MQ_PERMIT_UNKNOWN;
    }
  return MQ_PERMIT_UNKNOWN;
}

bool
mq_permit_refused (struct mq_router *router, const struct mq_org *org,
                   bool begins, uint32_t *retry_ms)
{
  const struct share *share = mq_idmap_find (router->permits->shares,
                                             mq_id_from_text (org->name), 0);
  uint64_t now = mq_clock_boot_ms ();

  if (share == NULL || !mq_quota_is_over (&share->quota, begins, now))
    return false;
  *retry_ms = mq_quota_wait_ms (&share->quota, begins, now);
  return true;
}

/* Asking */

static void
count_unasked (const struct share *share, uint32_t *need, uint32_t *begins)
{
  *need = 0;
  *begins = 0;
  for (const struct mq_permit *at = share->first; at != NULL; at = at->next)
    if (at->asked == 0 && at->begins)
      (*begins)++;
    else if (at->asked == 0)
      (*need)++;
}

/* A part of what this host needs is asked for now and then, so that the issuer
   knows what it may lend.  */
static bool
is_due (const struct share *share, uint64_t now)
{
  return (now - share->active_ms < IDLE_MS || share->quota.standing > 0
          || share->quota.surrendered > 0)
         && now - share->wanted_ms >= MQ_QUOTA_REFRESH_MS;
}

static void
mark_asked (struct share *share, uint64_t ask)
{
  for (struct mq_permit *at = share->first; at != NULL; at = at->next)
    if (at->asked == 0)
      at->asked = ask;
}

static uint64_t
asked_ms_of (uint64_t ask)
{
  return ask >> COUNT_BITS;
}

static void ask_here (struct mq_permits *permits,
                      const struct mq_relay_quota_ask *ask);

static void
send_ask (struct mq_permits *permits, struct contact *contact, uint64_t id,
          const struct mq_quota_want *wants, size_t count, uint64_t now)
{
  struct mq_relay *relay = permits->router->relay;
  struct mq_relay_quota_ask ask = { .id = id,
                                    .host = permits->run,
                                    .heard_ms = contact->quota.told_ms,
                                    .server = contact->quota.server,
                                    .wants = wants,
                                    .want_count = count,
                                    .listed = permits->router->row_written };

  contact->asked_ms = now;
  permits->router->counters.permits_asked++;
  if (strcmp (contact->address, mq_relay_address (relay)) == 0)
    ask_here (permits, &ask);
  else
    (void)mq_relay_ask_quota (relay, contact->address, &ask);
}

/* All that is to be asked of CONTACT; a question without wants keeps up the
   contact.  */
static void
ask_contact (struct mq_permits *permits, struct contact *contact, uint64_t now)
{
  struct mq_quota_want *wants = mq_check_alloc (
      talloc_zero_array (permits, struct mq_quota_want, WANTS_MAX));
  uint64_t id
      = now << COUNT_BITS | (++permits->next_ask & ((1U << COUNT_BITS) - 1));
  size_t count = 0;
  size_t position = 0;
  bool needed = false;
  struct share *share;

  while (count < WANTS_MAX
         && (share = mq_idmap_next (permits->shares, &position)) != NULL)
    {
      uint32_t need;
      uint32_t begins;

      if (contact_of (share) != contact)
        continue;
      count_unasked (share, &need, &begins);
      needed = needed || now - share->active_ms < IDLE_MS
               || share->quota.standing > 0;
      if (need + begins == 0 && !is_due (share, now))
        continue;
      wants[count++] = mq_quota_want (&share->quota, &contact->quota,
                                      share->name, need, begins, now);
      share->wanted_ms = now;
      mark_asked (share, id);
    }
  if (count > 0 || (needed && now - contact->asked_ms >= MQ_QUOTA_PING_MS))
    send_ask (permits, contact, id, wants, count, now);
  talloc_free (wants);
}

/* A host that issues for some share gets its contact made here.  */
static void
ask_all (struct mq_permits *permits)
{
  uint64_t now = mq_clock_boot_ms ();
  size_t position = 0;
  const struct share *share;

  while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (contact_of (share) == NULL && share->first != NULL)
      mq_reserve_look (permits->router, share->slot);
  for (struct contact *contact = permits->contacts; contact != NULL;
       contact = contact->next)
    ask_contact (permits, contact, now);
}

static void
on_flush (void *data)
{
  struct mq_permits *permits = data;

  permits->flush = NULL;
  ask_all (permits);
}

/* Requests that have waited for an answer: asked again, or on the standing
   rate, or told that nobody can tell.  */
static void
look_at (struct share *share, uint64_t now)
{
  struct mq_permit *permit = share->first;

  while (permit != NULL)
    {
      struct mq_permit *next = permit->next;

      if (permit->asked != 0
          && now >= asked_ms_of (permit->asked) + ASK_AGAIN_MS)
        permit->asked = 0;
      if (contact_of (share) == NULL
          && now >= permit->since_ms + MQ_QUOTA_ALONE_MS)
        end_permit (permit, MQ_PERMIT_UNKNOWN, 0);
      else
        switch (take (share, permit->begins, now))
          {
          case MQ_QUOTA_PERMIT:
            end_permit (permit, MQ_PERMIT_GRANTED, 0);
            break;
          case MQ_QUOTA_ALONE:
            end_permit (permit, MQ_PERMIT_UNKNOWN, 0);
            break;
          case MQ_QUOTA_OVER:
          case MQ_QUOTA_ASK:
            break;
          }
      permit = next;
    }
}

static void
on_look (void *data)
{
  struct mq_permits *permits = data;
  uint64_t now = mq_clock_boot_ms ();
  size_t position = 0;
  struct share *share;

  permits->look = NULL;
  recall_lent (permits);
  if (permits->waiting > 0)
    while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
      look_at (share, now);
  ask_all (permits);
  if (mq_idmap_count (permits->shares) > 0)
    permits->look = mq_timer_add (
        permits, permits->router->ev,
        permits->waiting > 0 ? LOOK_MS : MQ_QUOTA_PING_MS, on_look, permits);
}

/* Answers */

static struct mq_permit *
find_asked (const struct share *share, uint64_t ask)
{
  struct mq_permit *at = share->first;

  while (at != NULL && at->asked != ask)
    at = at->next;
  return at;
}

/* Asks anew for those that ASK asked for.  */
static void
forget_ask (const struct share *share, uint64_t ask)
{
  struct mq_permit *permit;

  while ((permit = find_asked (share, ask)) != NULL)
    permit->asked = 0;
}

static void
hand_out (struct share *share, const struct mq_quota_gift *gift, uint64_t ask)
{
  uint32_t need = gift->need;
  uint32_t begins = gift->begins;
  struct mq_permit *permit;

  while ((permit = find_asked (share, ask)) != NULL)
    {
      uint32_t *from = permit->begins ? &begins : &need;

      if (*from > 0)
        {
          (*from)--;
          end_permit (permit, MQ_PERMIT_GRANTED, 0);
        }
      else
        end_permit (permit, MQ_PERMIT_OVER, gift->retry_ms);
    }
}

static void
take_gift (struct mq_permits *permits, const struct mq_quota_gift *gift,
           const struct mq_relay_quota_told *told, const char *address,
           bool in_time, uint64_t now)
{
  struct share *share = mq_idmap_find (
      permits->shares, mq_id_from_text (gift->organisation), 0);

  if (share == NULL)
    return;
  if (gift->unknown)
    mq_reserve_look (permits->router, share->slot);
  if (gift->unknown || !in_time)
    {
      forget_ask (share, told->id);
      return;
    }
  if (share->issuer == NULL || strcmp (share->issuer, address) != 0)
    mq_text_replace (share, &share->issuer, address);
  mq_quota_told (&share->quota, gift, told->server, asked_ms_of (told->id),
                 now);
  hand_out (share, gift, told->id);
}

void
mq_permits_on_told (const struct mq_relay_quota_told *told,
                    const char *address, void *user)
{
  struct mq_router *router = user;
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct contact *contact = find_contact (permits, address);
  bool in_time;

  if (contact == NULL)
    return;
  in_time = mq_quota_answered (&contact->quota, told->server,
                               asked_ms_of (told->id), told->told_ms, now);
  for (size_t i = 0; i < told->gift_count; i++)
    take_gift (permits, &told->gifts[i], told, address, in_time, now);
}

/* Issuing */

/* What an organisation may be over its limit, in thousandths of a request, is
   divided: a sixth may be out ahead, a tenth is kept back, what may be on its
   way in answers is taken off, and the rest deepens the bucket.

   The load: programs of a small organisation come in bursts of a few, each of
   some ten requests in a second, which its burst alone does not hold.  */
#define AHEAD_PART 6U
#define KEPT_PART 10U

static void
set_bounds (const struct mq_router_settings *settings,
            const struct mq_quota_limit *limit, struct mq_quota_bounds *bounds)
{
  uint64_t whole
      = limit->rate * settings->limit_window_ms / 1000U + limit->burst;
  uint64_t over = whole * settings->limit_over_permille / 1000U
                  + settings->limit_slack * (uint64_t)1000;
  uint64_t spent = over / AHEAD_PART + over / KEPT_PART
                   + limit->rate * MQ_QUOTA_ANSWER_MS / 1000U;

  bounds->limit = *limit;
  bounds->ahead = over / AHEAD_PART / 1000U;
  if (over > spent)
    bounds->limit.burst += over - spent;
}

static struct mq_quota_gift
issue (struct mq_permits *permits, uint64_t host,
       const struct mq_quota_want *want, bool lends, uint64_t now)
{
  struct mq_router *router = permits->router;
  struct mq_quota_gift gift
      = { .organisation = want->organisation, .unknown = true };
  struct mq_reserve_own own;
  struct mq_quota_bounds bounds = { .lends = lends && !router->leaving };
  struct mq_quota_lease lease;
  const struct mq_org *org = NULL;

  if (router->routes != NULL && router->routes->orgs != NULL)
    org = mq_orgs_find_name (router->routes->orgs, want->organisation);
  if (org == NULL
      || !mq_reserve_issues (router, mq_reserve_slot (org->name), &own))
    return gift;
  set_bounds (router->settings, &org->limit, &bounds);
  lease = (struct mq_quota_lease){ mq_reserve_slot (org->name), own.since_ms,
                                   own.until_ms, own.inherited_ms,
                                   permits->unheard };
  gift = mq_quota_issue (permits->issuer, host, want, &bounds, &lease, now);
  router->counters.permits_issued += gift.need + gift.begins + gift.ahead;
  return gift;
}

/* The answer to ASK; its gifts lie below CTX.  */
static struct mq_relay_quota_told
answer (TALLOC_CTX *ctx, struct mq_permits *permits,
        const struct mq_relay_quota_ask *ask)
{
  uint64_t now = mq_clock_boot_ms ();
  uint64_t heard = ask->server == permits->run ? ask->heard_ms : 0;
  struct mq_quota_gift *gifts = mq_check_alloc (
      talloc_array (ctx, struct mq_quota_gift, ask->want_count + 1));

  mq_quota_heard (permits->issuer, ask->host, heard, now);
  for (size_t i = 0; i < ask->want_count; i++)
    {
      struct mq_quota_want want = ask->wants[i];

      want.heard_ms = heard;
      gifts[i] = issue (permits, ask->host, &want, ask->listed, now);
    }
  return (struct mq_relay_quota_told){ .id = ask->id,
                                       .server = permits->run,
                                       .told_ms = now,
                                       .gifts = gifts,
                                       .gift_count = ask->want_count };
}

static void
ask_here (struct mq_permits *permits, const struct mq_relay_quota_ask *ask)
{
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (permits));
  struct mq_relay_quota_told told = answer (ctx, permits, ask);

  mq_permits_on_told (&told, mq_relay_address (permits->router->relay),
                      permits->router);
  talloc_free (ctx);
}

void
mq_permits_on_ask (const struct mq_relay_quota_ask *ask,
                   struct mq_relay_link *link, void *user)
{
  struct mq_router *router = user;
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (router));
  struct mq_relay_quota_told told = answer (ctx, router->permits, ask);

  mq_relay_tell_quota (router->relay, link, &told);
  talloc_free (ctx);
}

/* Another host has begun again and asks what its earlier runs lent: all of it,
   or the answer would say too much.  */
void
mq_permits_on_recall (const struct mq_relay_quota_recall *recall,
                      struct mq_relay_link *link, void *user)
{
  static const struct mq_quota_contact none = { 0 };
  struct mq_router *router = user;
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct mq_quota_want *wants = mq_check_alloc (talloc_zero_array (
      permits, struct mq_quota_want, mq_idmap_count (permits->shares) + 1));
  struct mq_relay_quota_ask ask = { .host = permits->run,
                                    .wants = wants,
                                    .listed = router->row_written,
                                    .recalled = true };
  size_t position = 0;
  struct share *share;

  while ((share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (share->issuer != NULL && strcmp (share->issuer, recall->address) == 0)
      {
        mq_quota_surrender (&share->quota, recall->server, now);
        wants[ask.want_count++]
            = mq_quota_want (&share->quota, &none, share->name, 0, 0, now);
      }
  mq_relay_surrender (router->relay, link, &ask);
  talloc_free (wants);
}

/* Until all hosts have answered, this one leaves to the others what they may
   still use.  */
static void
recall_lent (struct mq_permits *permits)
{
  struct mq_router *router = permits->router;

  if (permits->unheard == 0 || !router->hosts_listed
      || !mq_reserve_inherits (router))
    return;
  permits->unheard = mq_relay_recall_quota (router->relay, permits->run);
}

bool
mq_permits_lent (const struct mq_router *router, uint32_t slot)
{
  return router->permits != NULL
         && mq_quota_issuer_lent (router->permits->issuer, slot,
                                  mq_clock_boot_ms ());
}

void
mq_permits_sweep (struct mq_router *router)
{
  struct mq_permits *permits = router->permits;
  uint64_t now = mq_clock_boot_ms ();
  struct share *found[FORGET_MAX];
  size_t count = 0;
  size_t position = 0;
  struct share *share;

  recall_lent (permits);
  mq_quota_issuer_sweep (permits->issuer, now);
  while (count < FORGET_MAX
         && (share = mq_idmap_next (permits->shares, &position)) != NULL)
    if (share->first == NULL && now - share->active_ms >= FORGET_MS)
      found[count++] = share;
  for (size_t i = 0; i < count; i++)
    {
      mq_idmap_remove (permits->shares, mq_id_from_text (found[i]->name), 0);
      talloc_free (found[i]);
    }
}
