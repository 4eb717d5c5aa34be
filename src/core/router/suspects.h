/* suspects.h - requests under which workers ended.

   Guards against a request that ends each worker it is sent to: the limit of a
   route holds for one attempt of a caller, and the next attempt, with another
   id and at another host, starts again.

   A connection that breaks is an open end: the worker has ended, or only the
   connection has.  The end is settled by what is seen of the worker later.
   Ends count one after the other: of those that overlap, like the workers of a
   rack that fail at one moment under copies of a request, one counts.  After
   MQ_SUSPECTS_ENDS_MAX of them the request is rejected, until its memory
   expires or the service runs another version; then one attempt is let
   through.  A response of a worker clears the request.

   Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_SUSPECTS_H
#define MQ_SUSPECTS_H

#include "../types.h"

struct mq_suspects;

/* Workers that may end under one request.  */
#define MQ_SUSPECTS_ENDS_MAX 3U
/* Ends from which a request runs at one worker at a time.  */
#define MQ_SUSPECTS_ENDS_ALONE 2U
/* Time for which a request with fewer ends is remembered: longer than a caller
   goes on repeating it.  */
#define MQ_SUSPECTS_MEMORY_MS 60000U
/* Time for which a request is rejected; doubled each time that it ends a
   worker again, up to the maximum.  */
#define MQ_SUSPECTS_REJECT_MS 600000U
#define MQ_SUSPECTS_REJECT_MAX_MS 4800000U
/* Data that arrives so long after the connection broke was sent later, not
   only read later.  */
#define MQ_SUSPECTS_READ_DELAY_MS 100U
/* Time within which hosts learn of a worker that was added: one that is not
   listed may be known to others.  */
#define MQ_SUSPECTS_LISTING_MS 1000U
/* Time after which an open end of a worker that is still listed counts as that
   of its connection alone: its entry would have lapsed.  */
#define MQ_SUSPECTS_SETTLE_MS 8000U
/* Error of times told by other hosts.  */
#define MQ_SUSPECTS_CLOCK_ERROR_MS 5U
/* Older ends, and longer runs, are not valid.  */
#define MQ_SUSPECTS_AGE_MAX_MS MQ_SUSPECTS_REJECT_MAX_MS
#define MQ_SUSPECTS_WORKS_MAX 2048U
/* Ends that are kept for a request.  */
#define MQ_SUSPECTS_KEPT_MAX 6U

enum mq_suspects_state
{
  MQ_SUSPECTS_OPEN,   /* the connection broke */
  MQ_SUSPECTS_ENDED,  /* the worker has ended */
  MQ_SUSPECTS_ALIVE,  /* it has not */
  MQ_SUSPECTS_SERVED, /* a worker served the request; the rest is unused */
  MQ_SUSPECTS_STATES
};

/**
 * struct mq_suspects_end - the end of a run at one worker
 * @work: mq_work_id of the request
 * @worker: mq_fleet_instance_digest of the worker
 * @worker_id: hash of its id, as mq_fleet_choose_home returns it
 * @ran_ms: duration of the run
 * @age_ms: time since its end
 * @lost: the connection broke; else the worker was silent
 */
struct mq_suspects_end
{
  struct mq_id work;
  uint64_t worker;
  uint64_t worker_id;
  uint32_t ran_ms;
  uint32_t age_ms;
  enum mq_suspects_state state;
  bool lost;
};

/* What follows for an attempt at a request.  */
enum mq_suspects_verdict
{
  MQ_SUSPECTS_MAY_RUN,   /* no limit is near */
  MQ_SUSPECTS_BUSY,      /* it runs, and may run at one worker at a time */
  MQ_SUSPECTS_UNSETTLED, /* too many ends if all open ones are settled so */
  MQ_SUSPECTS_REJECTED   /* workers ended under it */
};

/**
 * struct mq_suspects_sight - what is known of a worker
 * @listed: in the registry
 * @leaving: reported that it accepts no new requests
 * @heard_ms: time at which data last arrived
 */
struct mq_suspects_sight
{
  bool listed;
  bool leaving;
  uint64_t heard_ms;
};

/**
 * struct mq_suspects_report - one request, for operators
 * @ends: workers that have ended under it
 * @open: ends that are not settled
 * @age_ms: time since the last end
 * @rejected: attempts are rejected
 */
struct mq_suspects_report
{
  struct mq_id work;
  uint32_t ends;
  uint32_t open;
  uint64_t age_ms;
  bool rejected;
};

struct mq_suspects *mq_suspects_create (TALLOC_CTX *ctx);
void mq_suspects_destroy (struct mq_suspects *suspects);
/* Whether no request is known, so that there is nothing to judge.  */
bool mq_suspects_is_empty (const struct mq_suspects *suspects);

bool mq_suspects_is_known (const struct mq_suspects *suspects,
                           struct mq_id work);
/* VERSION: software of the service's workers now, 0 if unknown.  */
enum mq_suspects_verdict mq_suspects_judge (struct mq_suspects *suspects,
                                            struct mq_id work,
                                            uint64_t version, uint64_t now_ms);
/* WORK is sent to WORKER, a handle; each call that returns true is followed by
   one of mq_suspects_run_ended.  Returns false if WORK is not known.  */
bool mq_suspects_run_begun (struct mq_suspects *suspects, struct mq_id work,
                            uint32_t worker);
void mq_suspects_run_ended (struct mq_suspects *suspects, struct mq_id work);
/* Stores the workers, at most MAX, that WORK is to be kept from, since another
   known request of this host runs there; returns their number.  Two of them at
   one worker would share the blame for its end.  Only pairs count of which one
   has MQ_SUSPECTS_ENDS_ALONE ends.  */
size_t mq_suspects_occupied (const struct mq_suspects *suspects,
                             struct mq_id work, uint32_t *workers, size_t max);

/* Whether the figures of END are in range, and it is not of MQ_SUSPECTS_SERVED
   or a newer release.  */
bool mq_suspects_is_valid (const struct mq_suspects_end *end);
/* Takes an end that this host saw or was told, and ignores one that is not
   valid.  Returns the number of ends of its request that count, open ones
   included.  */
uint32_t mq_suspects_record (struct mq_suspects *suspects,
                             const struct mq_suspects_end *end,
                             uint64_t now_ms);
/* Number of ends of WORK that count, open ones included.  */
uint32_t mq_suspects_count (const struct mq_suspects *suspects,
                            struct mq_id work);
/* A worker has served WORK.  Returns whether it was known.  */
bool mq_suspects_clear (struct mq_suspects *suspects, struct mq_id work);
/* Stores the ends of WORK, settled or not; returns their number.  */
size_t mq_suspects_ends (const struct mq_suspects *suspects, struct mq_id work,
                         struct mq_suspects_end ends[MQ_SUSPECTS_KEPT_MAX],
                         uint64_t now_ms);
/* Whether any end is open.  */
bool mq_suspects_has_open (const struct mq_suspects *suspects);

typedef struct mq_suspects_sight
mq_suspects_look (const struct mq_suspects_end *end, void *user);
typedef void mq_suspects_settled (const struct mq_suspects_end *end,
                                  void *user);

/* Settles open ends by what LOOK tells of their workers, and calls SETTLED for
   each of these.  Forgets what has expired.  Neither may change SUSPECTS.  */
void mq_suspects_settle (struct mq_suspects *suspects, mq_suspects_look *look,
                         mq_suspects_settled *settled, void *user,
                         uint64_t now_ms);
/* WORKER, an instance digest, is known to have ended: settles its open ends
   and calls SETTLED for each.  */
void mq_suspects_worker_ended (struct mq_suspects *suspects, uint64_t worker,
                               mq_suspects_settled *settled, void *user,
                               uint64_t now_ms);
/* Stores the ends, settled or not, of the requests with most of them, at most
   MAX; returns their number.  For a host that has just started.  */
size_t mq_suspects_copy_ends (const struct mq_suspects *suspects,
                              struct mq_suspects_end *ends, size_t max,
                              uint64_t now_ms);
/* Stores the requests with most ends, at most MAX; returns their number.  */
size_t mq_suspects_list (const struct mq_suspects *suspects,
                         struct mq_suspects_report *reports, size_t max,
                         uint64_t now_ms);

#endif
