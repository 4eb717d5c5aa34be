/* program_need.h - requests that programs make after their first one.

   Guards against programs that are refused over their organisation's limit
   after turns of theirs have run: whoever issues permits must know what a
   program will need before it begins.

   Learned by route from the programs that began at this host, over all
   organisations, so that it is known before one of them sends a crowd.
   Programs do not tell their end: for each age, the requests at that age are
   divided by the programs that reached it, so that programs under way count
   for the ages that they have passed.  Requests of programs that began at
   other hosts raise all routes alike.

   Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_PROGRAM_NEED_H
#define MQ_PROGRAM_NEED_H

#include "../types.h"

/* Requests at a later age are not counted.  */
#define MQ_PROGRAM_NEED_LIFE_MAX_MS 16000U
/* A need above this is not believed, in thousandths.  */
#define MQ_PROGRAM_NEED_FURTHER_MAX 1000000U
/* Programs from which on the need of a route, or of all routes, is known.  */
#define MQ_PROGRAM_NEED_PROGRAMS_MIN 4U

/**
 * struct mq_program_need - what a program needs after its first request
 * @further: requests, in thousandths; 0 if unknown
 * @life_ms: time within which it makes them
 */
struct mq_program_need
{
  uint32_t further;
  uint32_t life_ms;
};

struct mq_program_needs;

/* Makes MEAN the running mean of the needs passed so far; the first one sets
   it.  NEED is usable.  */
void mq_program_need_average (struct mq_program_need *mean,
                              const struct mq_program_need *need);
/* Whether NEED, as told by another host, is known and within bounds.  */
bool mq_program_need_is_usable (const struct mq_program_need *need);
/* Returns NULL if out of memory.  */
struct mq_program_needs *mq_program_needs_create (TALLOC_CTX *ctx);
void mq_program_needs_destroy (struct mq_program_needs *needs);
/* Counts a request of a program that is sent to a worker.  PROGRAM: hash of
   its id.  BEGINS: it is the program's first one, on ROUTE; else ROUTE does
   not matter.  */
void mq_program_needs_record (struct mq_program_needs *needs,
                              const char *route, uint64_t program, bool begins,
                              uint64_t now_ms);
/* Mean need of the programs that begin on ROUTE; of all programs while too few
   of them were seen; unknown while there are too few of those.  */
struct mq_program_need mq_program_needs_of (struct mq_program_needs *needs,
                                            const char *route,
                                            uint64_t now_ms);

#endif
