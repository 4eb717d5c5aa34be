/* router_issue.c - issues permits to hosts for the organisations whose leases
   this host holds.

   quota.h decides what is issued and lent.
   Needs: router_state.h, memory.h, quota.h, clock.h.  */

#include "router_state.h"
#include "core/memory.h"
#include "core/organisation/quota.h"
#include "net/clock.h"

/**
 * struct mq_issuing - permits that this host issues
 * @run: random id of this run of the process
 * @unconfirmed_hosts: listed hosts that may still use rates lent before this
 *                     host restarted, UINT64_MAX if not known yet
 */
struct mq_issuing
{
  struct mq_router *router;
  uint64_t run;
  struct mq_quota_issuer *issuer;
  uint64_t unconfirmed_hosts;
};

struct mq_issuing *
mq_issuing_create (struct mq_router *router, uint64_t run)
{
  struct mq_issuing *issuing
      = mq_check_alloc (talloc_zero (router, struct mq_issuing));

  issuing->router = router;
  issuing->run = run;
  issuing->unconfirmed_hosts = UINT64_MAX;
  issuing->issuer = mq_quota_issuer_create (issuing);
  return issuing;
}

/* The overshoot that the settings allow, in thousandths of a request, is
   divided: 1/6 for permits issued in advance, 1/10 in reserve, an allowance
   for permits in replies under way, and the remainder for a deeper bucket, so
   that bursts of a small organisation's programs fit.  */
#define AHEAD_DIVISOR 6U
#define RESERVE_DIVISOR 10U

static void
compute_bounds (const struct mq_router_settings *settings,
                const struct mq_quota_limit *limit,
                struct mq_quota_bounds *bounds)
{
  uint64_t whole
      = limit->rate * settings->limit_window_ms / 1000U + limit->burst;
  uint64_t over = whole * settings->limit_over_permille / 1000U
                  + settings->limit_slack * (uint64_t)1000;
  uint64_t spent = over / AHEAD_DIVISOR + over / RESERVE_DIVISOR
                   + limit->rate * MQ_QUOTA_REPLY_TIMEOUT_MS / 1000U;

  bounds->limit = *limit;
  bounds->ahead = over / AHEAD_DIVISOR / 1000U;
  if (over > spent)
    bounds->limit.burst += over - spent;
}

static struct mq_quota_grant
issue_permits (struct mq_issuing *issuing, uint64_t host,
               const struct mq_quota_request *want, bool lends, uint64_t now)
{
  struct mq_router *router = issuing->router;
  struct mq_quota_grant gift
      = { .organisation = want->organisation, .unknown = true };
  struct mq_reserve_own_lease own;
  struct mq_quota_bounds bounds = { .may_lend = lends && !router->stopping };
  struct mq_quota_lease lease;
  const struct mq_org *org = NULL;

  if (router->routes != NULL && router->routes->orgs != NULL)
    org = mq_orgs_find_name (router->routes->orgs, want->organisation);
  if (org == NULL
      || !mq_reserve_issues (router, mq_reserve_slot (org->name), &own))
    return gift;
  compute_bounds (router->settings, &org->limit, &bounds);
  lease = (struct mq_quota_lease){ mq_reserve_slot (org->name), own.since_ms,
                                   own.until_ms, own.inherited_ms,
                                   issuing->unconfirmed_hosts };
  gift = mq_quota_issue (issuing->issuer, host, want, &bounds, &lease, now);
  router->counters.permits_issued += gift.need + gift.begins + gift.ahead;
  return gift;
}

struct mq_relay_quota_reply
mq_issuing_reply (TALLOC_CTX *ctx, struct mq_issuing *issuing,
                  const struct mq_relay_quota_request *request)
{
  uint64_t now = mq_clock_boot_ms ();
  uint64_t acked_ms
      = request->issuer_run_id == issuing->run ? request->acked_ms : 0;
  struct mq_quota_grant *gifts = mq_check_alloc (
      talloc_array (ctx, struct mq_quota_grant, request->want_count + 1));

  mq_quota_record_ack (issuing->issuer, request->run_id, acked_ms, now);
  for (size_t i = 0; i < request->want_count; i++)
    {
      struct mq_quota_request want = request->wants[i];

      want.heard_ms = acked_ms;
      gifts[i] = issue_permits (issuing, request->run_id, &want,
                                request->listed, now);
    }
  return (struct mq_relay_quota_reply){ .id = request->id,
                                        .issuer_run_id = issuing->run,
                                        .sent_ms = now,
                                        .gifts = gifts,
                                        .gift_count = request->want_count };
}

void
mq_issuing_on_request (const struct mq_relay_quota_request *request,
                       struct mq_relay_link *link, void *user)
{
  struct mq_router *router = user;
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (router));
  struct mq_relay_quota_reply reply
      = mq_issuing_reply (ctx, router->issuing, request);

  mq_relay_send_quota_reply (router->relay, link, &reply);
  talloc_free (ctx);
}

/* Until every listed host has answered, this issuer reserves for each silent
   one the rate that it may still use.  */
void
mq_issuing_recall (struct mq_issuing *issuing)
{
  struct mq_router *router = issuing->router;

  if (issuing->unconfirmed_hosts == 0 || !router->hosts_listed
      || !mq_reserve_has_prior_leases (router))
    return;
  issuing->unconfirmed_hosts
      = mq_relay_recall_quota (router->relay, issuing->run);
}

bool
mq_issuing_has_lent (const struct mq_router *router, uint32_t slot)
{
  return router->issuing != NULL
         && mq_quota_issuer_has_lent (router->issuing->issuer, slot,
                                      mq_clock_boot_ms ());
}

void
mq_issuing_sweep (struct mq_issuing *issuing, uint64_t now_ms)
{
  mq_issuing_recall (issuing);
  mq_quota_issuer_sweep (issuing->issuer, now_ms);
}
