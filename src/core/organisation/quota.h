/* quota.h - how many requests an organisation may have run, agreed among
   hosts.

   One host at a time, the issuer, holds the lease on an organisation
   (reserve.h) and has its one token bucket, which begins empty.  Other hosts
   ask it for permits, one for each request, and for a few ahead where they
   need many; permits that are not used soon are given back.

   An issuer that can't be reached must not stop its organisations.  So it
   may_lend each host a standing rate, what that host used lately, all together
   no more than the limit, and for no longer than its lease.  A host lives on
   its standing rate only once it has not heard from the issuer for a while;
   the issuer takes that rate off the bucket's as soon as the host does not
   acknowledge what it is told.  The host waits longer than the issuer, so
   that no rate counts twice.

   An issuer that starts again under its own lease does not know what it lent.
   It has all hosts surrender what they still hold, and until that lease would
   have run out it leaves to each that did not answer the most that one host is
   lent.

   In any time, with any losses, delays and pauses, no more permits are used
   than one bucket gives, and the bound on those ahead.  Pure: time is given,
   by a clock that goes on while the host is suspended. Needs: orgs.h.  */

#ifndef MQ_QUOTA_H
#define MQ_QUOTA_H

#include "orgs.h"

/* An answer that took longer is not used; its permits are lost.  */
#define MQ_QUOTA_REPLY_TIMEOUT_MS 300U
/* Permits that were asked for ahead are kept for so long.  */
#define MQ_QUOTA_PREFETCH_TTL_MS 250U
/* The issuer takes a host that acknowledged nothing newer for silent.  */
#define MQ_QUOTA_ACK_TIMEOUT_MS 800U
/* A host lives on its standing rates when the last question that was answered
   is so old: MQ_QUOTA_REPLY_TIMEOUT_MS and MQ_QUOTA_ACK_TIMEOUT_MS, and what
   clocks may differ in that time.  */
#define MQ_QUOTA_ISSUER_TIMEOUT_MS 1200U
/* A host that needs permits of an issuer asks at least this often.  */
#define MQ_QUOTA_POLL_INTERVAL_MS 200U
/* Standing rates are told anew so often.  */
#define MQ_QUOTA_STANDING_REFRESH_MS 1000U

/* Levels of buckets count millionths of a permit: thousandths a second times
   milliseconds.  */
#define MQ_QUOTA_UNITS_PER_PERMIT 1000000U

/* What a host that lives on the standing RATE may have saved up, in those: one
   permit, and a moment's use.  The issuer keeps as much back.  */
uint64_t mq_quota_standing_burst (uint64_t rate);

/* The issuer's side */

struct mq_quota_issuer;

/**
 * struct mq_quota_lease - an issuer's right to issue, by its own clock
 * @slot: of the organisations that it is for
 * @since_ms: it began then
 * @until_ms: it ends then unless it is renewed
 * @inherited_ms: what this host lent in an earlier run may be used until
 *                then, 0: there was none
 * @unconfirmed_hosts: hosts that may still use it
 */
struct mq_quota_lease
{
  uint32_t slot;
  uint64_t since_ms;
  uint64_t until_ms;
  uint64_t inherited_ms;
  uint64_t unconfirmed_hosts;
};

/**
 * struct mq_quota_bounds - what an issuer may do with one organisation
 * @limit: of the configuration in force
 * @ahead: permits that may be out ahead at a time
 * @may_lend: standing rates are lent; false: the issuer is leaving, or would
 * not find the host again
 */
struct mq_quota_bounds
{
  struct mq_quota_limit limit;
  uint64_t ahead;
  bool may_lend;
};

/**
 * struct mq_quota_request - what a host wants for one organisation
 * @organisation: its name
 * @need: permits for requests that wait
 * @begins: permits for first requests of programs that wait
 * @ahead: permits for requests to come
 * @unused: permits that are given back
 * @surrendered: standing rate of an earlier run of the issuer that the host
 *               does not use any more
 * @holds: standing rate that the host has, as of @heard_ms
 * @heard_ms: what the host acknowledges with it
 */
struct mq_quota_request
{
  const char *organisation;
  uint32_t need;
  uint32_t begins;
  uint32_t ahead;
  uint32_t unused;
  uint64_t surrendered;
  uint64_t holds;
  uint64_t heard_ms;
};

/**
 * struct mq_quota_grant - the answer
 * @organisation: its name
 * @unknown: this host does not issue permits of the organisation
 * @need: of those that were wanted
 * @begins: of those that were wanted
 * @ahead: of those that were wanted
 * @retry_ms: when there will be more, 0: nothing was missing
 * @empty: not even what programs that have begun need is there
 * @standing: rate that the host may use alone, as in struct mq_quota_limit
 * @standing_ms: for so long from the question on
 */
struct mq_quota_grant
{
  const char *organisation;
  bool unknown;
  uint32_t need;
  uint32_t begins;
  uint32_t ahead;
  uint32_t retry_ms;
  bool empty;
  uint64_t standing;
  uint32_t standing_ms;
};

struct mq_quota_issuer *mq_quota_issuer_create (TALLOC_CTX *ctx);
/* The host that names itself HOST asks, and acknowledges what it was told at
   HEARD_MS by this host's clock, 0: nothing yet.  Before mq_quota_issue.  */
void mq_quota_record_ack (struct mq_quota_issuer *issuer, uint64_t host,
                          uint64_t heard_ms, uint64_t now_ms);
/* Answers WANT of HOST.  */
struct mq_quota_grant mq_quota_issue (struct mq_quota_issuer *issuer,
                                      uint64_t host,
                                      const struct mq_quota_request *want,
                                      const struct mq_quota_bounds *bounds,
                                      const struct mq_quota_lease *lease,
                                      uint64_t now_ms);
/* Some host may still have a standing rate of an organisation of the lease
   SLOT.  */
bool mq_quota_issuer_has_lent (const struct mq_quota_issuer *issuer,
                               uint32_t slot, uint64_t now_ms);
/* Forgets organisations and hosts that were not heard of for long.  */
void mq_quota_issuer_sweep (struct mq_quota_issuer *issuer, uint64_t now_ms);

/* The side of a host that serves requests */

/**
 * struct mq_quota_contact - what a host has heard of an issuer
 * @server: run of the issuer that answered last, 0: none did
 * @told_ms: what it said of its own clock, to be acknowledged
 * @answered_ms: when the last question that was answered in time was asked
 */
struct mq_quota_contact
{
  uint64_t server;
  uint64_t told_ms;
  uint64_t answered_ms;
};

#define MQ_QUOTA_BATCHES 2

/**
 * struct mq_quota_batch - permits that were asked for ahead
 */
struct mq_quota_batch
{
  uint32_t permits;
  uint64_t until_ms;
};

/**
 * struct mq_quota_share - what a host has of one organisation's limit
 * @stocks: permits at hand
 * @unused: permits to be given back, since @unused_ms
 * @used: in this second and the one before
 * @used_s: which second that is
 * @standing: rate that it may use alone, until @standing_until_ms
 * @server: run of the issuer that lent it
 * @surrendered: to be told to the issuer
 * @on_standing_rate: it lives on the standing rate
 * @level: millionths of a permit then, as of @level_ms
 * @exhausted_until_ms: no permit will be there before
 * @begin_refused_until_ms: none for a program's first request
 */
struct mq_quota_share
{
  struct mq_quota_batch stocks[MQ_QUOTA_BATCHES];
  uint32_t unused;
  uint64_t unused_ms;
  uint32_t used[2];
  uint64_t used_s;
  uint64_t standing;
  uint64_t standing_until_ms;
  uint64_t server;
  uint64_t surrendered;
  bool on_standing_rate;
  uint64_t level;
  uint64_t level_ms;
  uint64_t exhausted_until_ms;
  uint64_t begin_refused_until_ms;
};

enum mq_quota_decision
{
  MQ_QUOTA_GRANTED,    /* the request may be sent */
  MQ_QUOTA_ASK_ISSUER, /* the issuer is to be asked */
  MQ_QUOTA_EXCEEDED,   /* the limit is reached */
  MQ_QUOTA_NO_ISSUER   /* the issuer can't be asked, and nothing is left */
};

/* A request, the first one of a program: BEGINS, wants a permit.  */
enum mq_quota_decision
mq_quota_try_acquire (struct mq_quota_share *share,
                      const struct mq_quota_contact *contact, bool begins,
                      uint64_t now_ms);
/* What to ask for, beside NEED and BEGINS of the requests that wait.  What is
   given back or surrendered has left the share then.  */
struct mq_quota_request mq_quota_request (
    struct mq_quota_share *share, const struct mq_quota_contact *contact,
    const char *organisation, uint32_t need, uint32_t begins, uint64_t now_ms);
/* SERVER has answered what was asked at ASKED_MS, in time if true is returned;
   TOLD_MS is its clock.  Before mq_quota_apply_grant of each gift.  */
bool mq_quota_record_reply (struct mq_quota_contact *contact, uint64_t server,
                            uint64_t asked_ms, uint64_t told_ms,
                            uint64_t now_ms);
/* The rate that SHARE was lent by another run than SERVER of its issuer is not
   used any more; the next want says so.  */
void mq_quota_surrender (struct mq_quota_share *share, uint64_t server,
                         uint64_t now_ms);
/* A gift that came in time.  The permits for those that wait are the
   caller's.  */
void mq_quota_apply_grant (struct mq_quota_share *share,
                           const struct mq_quota_grant *gift, uint64_t server,
                           uint64_t asked_ms, uint64_t now_ms);
/* The issuer has not answered for so long that the host is alone.  */
bool mq_quota_issuer_unavailable (const struct mq_quota_contact *contact,
                                  uint64_t now_ms);
/* The limit was reached a moment ago: nobody need be asked.  */
bool mq_quota_is_exhausted (const struct mq_quota_share *share, bool begins,
                            uint64_t now_ms);
/* Until then a permit is not to be had, milliseconds from now.  */
uint32_t mq_quota_retry_after_ms (const struct mq_quota_share *share,
                                  bool begins, uint64_t now_ms);

#endif
