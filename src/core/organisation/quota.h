/* quota.h - request quotas of organisations, enforced across hosts.

   One host at a time, the issuer, holds the lease on an organisation
   (reserve.h) and runs its only token bucket, which starts empty.  Other hosts
   request permits from it, one per request, and prefetch a few when traffic is
   high.  Prefetched permits that are not used soon are returned.

   The issuer sets aside what programs that have begun are expected to need
   (set_aside.h), as far as hosts tell it, and lets a program begin while its
   bucket, as it fills, covers that and the program itself.

   An unreachable issuer must not stop its organisations.  It therefore lends
   each host a standing rate, based on the host's recent use.  The standing
   rates of all hosts never exceed the limit and expire with the issuer's
   lease.  A host falls back to its standing rate only after it has not heard
   from the issuer for MQ_QUOTA_ISSUER_TIMEOUT_MS.  The issuer deducts that
   rate from its bucket as soon as the host stops acknowledging replies.  The
   host's timeout is longer than the issuer's, so no rate counts twice.

   An issuer that restarts under its own lease does not know what it lent.  It
   asks all hosts to surrender their standing rates.  Until the previous lease
   would have expired, it reserves the largest standing rate a host can have
   for each host that has not answered.

   Over any interval and under any message loss, delay or suspension, hosts use
   no more permits than one bucket provides plus the bound on prefetched
   permits.  Pure: callers pass the time, from a clock that continues while the
   host is suspended.
   Needs: orgs.h, program_need.h.  */

#ifndef MQ_QUOTA_H
#define MQ_QUOTA_H

#include "orgs.h"
#include "program_need.h"

/* A later reply is ignored; the permits in it are lost.  */
#define MQ_QUOTA_REPLY_TIMEOUT_MS 300U
/* Lifetime of prefetched permits at a host.  */
#define MQ_QUOTA_PREFETCH_TTL_MS 250U
/* The issuer treats a host as silent if its newest acknowledgement is older.
 */
#define MQ_QUOTA_ACK_TIMEOUT_MS 800U
/* A host falls back to its standing rates if a request is older and neither it
   nor a later one was answered.  Covers MQ_QUOTA_REPLY_TIMEOUT_MS,
   MQ_QUOTA_ACK_TIMEOUT_MS and clock drift over both.  */
#define MQ_QUOTA_ISSUER_TIMEOUT_MS 1200U
/* Longest interval between requests of a host that uses an issuer's permits.
 */
#define MQ_QUOTA_POLL_INTERVAL_MS 200U
/* Interval at which standing rates are renewed.  */
#define MQ_QUOTA_STANDING_REFRESH_MS 1000U

/* Unit of bucket levels: a rate in thousandths of a permit per second times
   milliseconds gives millionths of a permit.  */
#define MQ_QUOTA_UNITS_PER_PERMIT 1000000U

/* Burst that a host may accumulate under the standing RATE, in bucket units.
   The issuer lowers its own burst by the same amount.  */
uint64_t mq_quota_standing_burst (uint64_t rate);

/* Issuer */

struct mq_quota_issuer;

/**
 * struct mq_quota_lease - right to issue permits, issuer's monotonic clock
 * @slot: slot of the organisations it covers
 * @since_ms: start of the lease
 * @until_ms: expiry unless renewed
 * @inherited_ms: expiry of standing rates lent by an earlier run of this
 *                host, 0 if there are none
 * @unconfirmed_hosts: hosts that may still use such standing rates
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
 * struct mq_quota_bounds - what an issuer may grant for one organisation
 * @limit: limit in the active configuration
 * @ahead: maximum number of outstanding prefetched permits
 * @may_lend: whether standing rates may be lent; false if the issuer is
 *            shutting down or could not reach the host to recall them
 */
struct mq_quota_bounds
{
  struct mq_quota_limit limit;
  uint64_t ahead;
  bool may_lend;
};

/**
 * struct mq_quota_request - a host's request for one organisation
 * @need: permits for waiting requests other than first ones of programs
 * @single: of these, requests that belong to no program
 * @begins: permits for waiting first requests of programs
 * @begun: programs that began with prefetched permits
 * @continued: requests of begun programs with prefetched permits
 * @program: mean need of the programs in @begins and @begun
 * @ahead: permits to prefetch
 * @unused: prefetched permits returned
 * @surrendered: standing rate from an earlier run of the issuer that the host
 *               no longer uses
 * @holds: standing rate the host has, as of @heard_ms
 * @heard_ms: newest issuer time the host has received, acknowledged by this
 *            request
 */
struct mq_quota_request
{
  const char *organisation;
  uint32_t need;
  uint32_t single;
  uint32_t begins;
  uint32_t begun;
  uint32_t continued;
  struct mq_program_need program;
  uint32_t ahead;
  uint32_t unused;
  uint64_t surrendered;
  uint64_t holds;
  uint64_t heard_ms;
};

/**
 * struct mq_quota_grant - reply to a struct mq_quota_request
 * @unknown: this host is not the issuer of the organisation
 * @need: permits granted of those requested
 * @begins: permits granted of those requested
 * @ahead: permits granted of those requested
 * @retry_ms: delay until more permits are available, 0 if all were granted;
 *            until a program can begin if first requests were refused
 * @between_ms: mean time between two programs that can begin, 0 if unknown
 * @empty: the bucket could not even cover programs that have begun
 * @standing: standing rate of the host, unit as in struct mq_quota_limit
 * @standing_ms: lifetime of @standing, counted from the request
 */
struct mq_quota_grant
{
  const char *organisation;
  bool unknown;
  uint32_t need;
  uint32_t begins;
  uint32_t ahead;
  uint32_t retry_ms;
  uint32_t between_ms;
  bool empty;
  uint64_t standing;
  uint32_t standing_ms;
};

struct mq_quota_issuer *mq_quota_issuer_create (TALLOC_CTX *ctx);
/* Records a request from HOST and the issuer time HEARD_MS it acknowledges, 0
   if none.  Call before mq_quota_issue.  */
void mq_quota_record_ack (struct mq_quota_issuer *issuer, uint64_t host,
                          uint64_t heard_ms, uint64_t now_ms);
/* Returns the grant for the request WANT of HOST.  */
struct mq_quota_grant mq_quota_issue (struct mq_quota_issuer *issuer,
                                      uint64_t host,
                                      const struct mq_quota_request *want,
                                      const struct mq_quota_bounds *bounds,
                                      const struct mq_quota_lease *lease,
                                      uint64_t now_ms);
/* Whether any host may still have a standing rate for an organisation of
   SLOT.  */
bool mq_quota_issuer_has_lent (const struct mq_quota_issuer *issuer,
                               uint32_t slot, uint64_t now_ms);
/* Frees the state of organisations and hosts that have long been inactive.  */
void mq_quota_issuer_sweep (struct mq_quota_issuer *issuer, uint64_t now_ms);

/* Host that serves requests */

/**
 * struct mq_quota_contact - a host's view of an issuer
 * @server: run of the issuer that answered last, 0 if none
 * @told_ms: newest issuer time received, to be acknowledged
 * @unanswered_ms: send time of the first request since the last one that was
 *                 answered in time, 0 if there is none
 */
struct mq_quota_contact
{
  uint64_t server;
  uint64_t told_ms;
  uint64_t unanswered_ms;
};

/**
 * struct mq_quota_programs - sums of what programs need
 * @count: programs
 * @further: as in struct mq_program_need
 * @life_ms: likewise
 */
struct mq_quota_programs
{
  uint32_t count;
  uint64_t further;
  uint64_t life_ms;
};

/**
 * struct mq_quota_waiting - requests that wait for permits
 * @need: requests other than first ones of programs
 * @single: of these, requests that belong to no program
 * @begins: first requests of programs
 * @programs: sums of the need of @begins whose need is known
 */
struct mq_quota_waiting
{
  uint32_t need;
  uint32_t single;
  uint32_t begins;
  struct mq_quota_programs programs;
};

#define MQ_QUOTA_BATCHES 2

/**
 * struct mq_quota_batch - prefetched permits that expire together
 */
struct mq_quota_batch
{
  uint32_t permits;
  uint64_t until_ms;
};

/**
 * struct mq_quota_share - a host's share of one organisation's limit
 * @batches: prefetched permits
 * @unused: permits to return, the first of them since @unused_ms
 * @begun: programs that began with prefetched permits since the last request
 * @continued: requests of begun programs with such permits
 * @begun_ms: time of the first of both
 * @used: permits used in second @used_s and in the second before
 * @standing: standing rate, valid until @standing_until_ms
 * @server: run of the issuer that lent @standing
 * @surrendered: standing rate to report as surrendered
 * @on_standing_rate: the host is using its standing rate
 * @level: bucket level under the standing rate at @level_ms
 * @denied_ms: time from which on no issuer was found, 0 if there is one
 * @denied_until_ms: a later denial begins anew
 * @exhausted_until_ms: no permit is available before
 * @begin_refused_until_ms: no permit for first requests is available before
 * @begin_retry_ms: time at which the next refused program is to return
 * @begin_between_ms: time by which the one after it returns later
 */
struct mq_quota_share
{
  struct mq_quota_batch batches[MQ_QUOTA_BATCHES];
  uint32_t unused;
  uint64_t unused_ms;
  struct mq_quota_programs begun;
  uint32_t continued;
  uint64_t begun_ms;
  uint32_t used[2];
  uint64_t used_s;
  uint64_t standing;
  uint64_t standing_until_ms;
  uint64_t server;
  uint64_t surrendered;
  bool on_standing_rate;
  uint64_t level;
  uint64_t level_ms;
  uint64_t denied_ms;
  uint64_t denied_until_ms;
  uint64_t exhausted_until_ms;
  uint64_t begin_refused_until_ms;
  uint64_t begin_retry_ms;
  uint32_t begin_between_ms;
};

enum mq_quota_decision
{
  MQ_QUOTA_GRANTED,    /* the request may be sent */
  MQ_QUOTA_ASK_ISSUER, /* request a permit from the issuer */
  MQ_QUOTA_EXCEEDED,   /* the limit is reached */
  MQ_QUOTA_NO_ISSUER   /* no issuer, and standing rate used up */
};

/* Takes a permit for a request; BEGINS if it is a program's first one.  */
enum mq_quota_decision
mq_quota_try_acquire (struct mq_quota_share *share,
                      const struct mq_quota_contact *contact, bool begins,
                      uint64_t now_ms);
/* Adds the NEED of a program to SUMS; nothing if it is unknown.  */
void mq_quota_add_program (struct mq_quota_programs *sums,
                           const struct mq_program_need *need);
/* Records that a request of a program was granted by mq_quota_try_acquire;
   BEGINS: it is its first one, and the program needs NEED.  */
void mq_quota_record_program (struct mq_quota_share *share, bool begins,
                              const struct mq_program_need *need,
                              uint64_t now_ms);
/* Builds the request to the issuer, with permits for WAITING requests.
   Returned permits, surrendered rates and recorded programs are removed from
   SHARE.  */
struct mq_quota_request
mq_quota_request (struct mq_quota_share *share,
                  const struct mq_quota_contact *contact,
                  const char *organisation,
                  const struct mq_quota_waiting *waiting, uint64_t now_ms);
/* Records that a request is sent.  */
void mq_quota_record_request (struct mq_quota_contact *contact,
                              uint64_t now_ms);
/* Records SERVER's reply to a request sent at ASKED_MS; TOLD_MS is SERVER's
   clock.  Returns false if the reply is too late to be used.  Call before
   mq_quota_apply_grant for the grants in the reply.  */
bool mq_quota_record_reply (struct mq_quota_contact *contact, uint64_t server,
                            uint64_t asked_ms, uint64_t told_ms,
                            uint64_t now_ms);
/* Stops using a standing rate that was lent by a run of the issuer other than
   SERVER; the next request reports it as surrendered.  */
void mq_quota_surrender (struct mq_quota_share *share, uint64_t server,
                         uint64_t now_ms);
/* Applies a grant that arrived in time.  The caller distributes its permits
   for waiting requests.  */
void mq_quota_apply_grant (struct mq_quota_share *share,
                           const struct mq_quota_grant *grant, uint64_t server,
                           uint64_t asked_ms, uint64_t now_ms);
/* Records that the host that was asked is not the issuer, or that none is
   known.  A grant ends this.  */
void mq_quota_record_denial (struct mq_quota_share *share, uint64_t now_ms);
/* Whether the issuer has not answered requests for MQ_QUOTA_ISSUER_TIMEOUT_MS.
 */
bool mq_quota_issuer_unavailable (const struct mq_quota_contact *contact,
                                  uint64_t now_ms);
/* Whether the limit was reached so recently that the issuer need not be asked
   again.  */
bool mq_quota_is_exhausted (const struct mq_quota_share *share, bool begins,
                            uint64_t now_ms);
/* Delay after which a refused request may be sent again; for first requests of
   programs each call gives a later time.  */
uint32_t mq_quota_retry_after_ms (struct mq_quota_share *share, bool begins,
                                  uint64_t now_ms);

#endif
