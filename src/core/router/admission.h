/* admission.h - admission control for new programs.

   Guards against overload: if more programs begin than the workers can serve
   in time, they evict each other's cached prompts and all of them miss their
   deadlines.  While the load of a service is above its capacity, programs are
   rejected at their first turn.  Programs that have begun continue.

   The load at which a program is rejected depends on a hash of its id, so that
   all hosts reject the same programs without coordination.  Where
   organisations share the service, the part of programs that is rejected
   differs by organisation (shares.h), and its sum is the same.  A program that
   retries after a rejection does not displace one that has its full time left.
   Pure: callers pass the time.
   Needs: types.h, shares.h.  */

#ifndef MQ_ADMISSION_H
#define MQ_ADMISSION_H

#include "../organisation/shares.h"
#include "../types.h"

struct mq_admission;

/* Load of a service whose workers have all slots in use and no queue.  */
#define MQ_ADMISSION_LOAD_FULL 1000U

/**
 * struct mq_admission_request - a program that begins
 * @route: route of the request; programs are compared with others on the same
 *         route
 * @priority: priority of the route, 0 is the highest
 * @program: hash of the program's id
 * @load: load of the service in thousandths of its capacity, 0 if unknown
 * @pace_load: load of the service as programs of the route bear it, same unit
 *             (mq_pace_load); 0 if unknown
 * @record_load: load of the table that stores turns, same unit; used without
 *               smoothing
 * @shares: demand of the service's organisations; NULL if the configuration
 *          has none
 * @organisation: organisation of the program; NULL if it has none
 * @has_remaining: whether @remaining_ms is known
 * @remaining_ms: time until the program's deadline
 * @budget: tokens that its turns may generate, 0 if unknown
 * @now_ms: monotonic clock
 */
struct mq_admission_request
{
  const char *service;
  const char *route;
  uint32_t priority;
  uint64_t program;
  uint32_t load;
  uint32_t pace_load;
  uint32_t record_load;
  const struct mq_shares *shares;
  const char *organisation;
  bool has_remaining;
  uint32_t remaining_ms;
  uint64_t budget;
  uint64_t now_ms;
};

enum mq_admission_decision
{
  MQ_ADMISSION_ACCEPTED,
  MQ_ADMISSION_OVERLOADED, /* the load is too high */
  MQ_ADMISSION_TOO_LATE    /* too little time is left at this load */
};

/* Returns NULL if out of memory.  */
struct mq_admission *mq_admission_create (TALLOC_CTX *ctx);
void mq_admission_destroy (struct mq_admission *admission);
/* Decides whether a program may begin.  If not, *RETRY_MS is the delay after
   which it may return.  */
enum mq_admission_decision
mq_admission_decide (struct mq_admission *admission,
                     const struct mq_admission_request *request,
                     uint32_t *retry_ms);
/* Part of the programs of the last request's organisation that is admitted, in
   thousandths; of all organisations if they are treated alike.  */
uint32_t mq_admission_last_part (const struct mq_admission *admission);

#endif
