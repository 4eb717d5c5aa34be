/* admission.h - whether a program that begins is taken on, by how loaded the
   workers of its service are.

   The load: far more programs begin than the workers can serve in time.  Taken
   on all alike they wait for each other: histories are pushed out of the
   engines' memory and read again, and every program is late in place of some
   of them.  So a program is refused at its first turn, at once, while workers
   have more than they run side by side; what has begun goes on.

   A program's share of the refusals is fixed by a hash of its id, so that all
   hosts refuse the same ones without asking each other.  One that is refused
   and comes back does not take the place of one that has all its time left.
   Pure: time is given.
   Needs: types.h.  */

#ifndef MQ_ADMISSION_H
#define MQ_ADMISSION_H

#include "../types.h"

struct mq_admission;

/* Load of a service whose workers run all that they can side by side, and
   keep nothing waiting.  */
#define MQ_ADMISSION_LOAD_FULL 1000U

/**
 * struct mq_admission_request - a program that begins
 * @service: workers that it needs
 * @route: by which it came; programs of a route are compared with each other
 * @priority: of the route, 0 is the most urgent
 * @program: a hash of its id
 * @load: of the service, in thousandths of what its workers can do in time; 0:
 *        not known
 * @record_load: of the table that keeps the program's turns, likewise; it
 *               counts as it is, since one that comes back from an outage has
 *               no queue a second later
 * @has_remaining: @remaining_ms was told
 * @remaining_ms: time until the program should be finished
 * @budget: tokens that its turns may generate, 0: not told
 * @now_ms: steady clock
 */
struct mq_admission_request
{
  const char *service;
  const char *route;
  uint32_t priority;
  uint64_t program;
  uint32_t load;
  uint32_t record_load;
  bool has_remaining;
  uint32_t remaining_ms;
  uint64_t budget;
  uint64_t now_ms;
};

enum mq_admission_decision
{
  MQ_ADMISSION_ACCEPTED,
  MQ_ADMISSION_OVERLOADED, /* the workers have too much */
  MQ_ADMISSION_TOO_LATE    /* and it has lost too much of its time */
};

/* NULL when memory is out.  */
struct mq_admission *mq_admission_create (TALLOC_CTX *ctx);
void mq_admission_destroy (struct mq_admission *admission);
/* Whether the program may begin.  If not, *RETRY_MS is when it may be worth
   to come back, milliseconds.  */
enum mq_admission_decision
mq_admission_decide (struct mq_admission *admission,
                     const struct mq_admission_request *ask,
                     uint32_t *retry_ms);

#endif
