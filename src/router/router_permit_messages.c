/* router_permit_messages.c - messages to the hosts that issue permits, and
   their replies.

   Needs: router_permit_state.h, id.h, memory.h, clock.h.  */

#include "router_permit_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include <string.h>

/* Messages after which an issuer knows that a rate is given up: the first may
   acknowledge an older reply than the last one.  */
#define RETURN_REPLIES 2U
/* Minimum interval of reading the leases because an issuer does not answer. */
#define UNANSWERED_LIST_MS 2000U
/* An organisation without requests for this long is no longer polled for.  */
#define IDLE_MS 5000U
/* Organisations per message to an issuer.  */
#define ORGS_PER_MESSAGE_MAX 256U
/* A message id is the send time in ms, shifted above a sequence number of this
   many bits.  */
#define SEQUENCE_BITS 16U

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

struct contact *
permit_issuer (const struct share *share)
{
  const char *address
      = mq_reserve_issuer (share->permits->router, share->slot);

  return address == NULL ? NULL : get_contact (share->permits, address);
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

void
permit_return_standing (struct share *share, uint64_t now)
{
  if (!share->permits->router->stopping || share->quota.standing == 0)
    return;
  share->quota.standing = 0;
  report_return (share, now);
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

uint64_t
permit_message_sent_ms (uint64_t message)
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

      if (permit_issuer (share) != contact)
        continue;
      permit_return_standing (share, now);
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
  struct contact *contact = permit_issuer (share);

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

void
permit_send_due (struct mq_permits *permits)
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
          permit_complete (permit, MQ_PERMIT_GRANTED, 0);
        }
      else if (permit_is_refused (permit, now))
        permit_complete (
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
      && permit_message_sent_ms (reply->id) >= share->returned_ms)
    share->returns_left--;
  held = share->quota.standing > 0;
  if (share->issuer == NULL || strcmp (share->issuer, address) != 0)
    mq_text_replace (share, &share->issuer, address);
  mq_quota_apply_grant (&share->quota, gift, reply->issuer_run_id,
                        permit_message_sent_ms (reply->id), now);
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
                                   permit_message_sent_ms (reply->id),
                                   reply->sent_ms, now);
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
