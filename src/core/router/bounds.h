/* bounds.h - what callers may hold of a host's descriptors and memory.

   Pure.
   Needs: types.h.  */

#ifndef MQ_BOUNDS_H
#define MQ_BOUNDS_H

#include "../types.h"

/* Connections that callers may hold of FILES_MAX open files.

   Failure: callers hold all descriptors, and no connection to a worker, to the
   table or to another host can be opened; their requests are refused.  */
size_t mq_bounds_callers (uint64_t files_max);
/* Bytes of requests and answers that may be buffered with MEMORY_MB.

   Failure: the bodies and answers of many requests exceed the memory of the
   process, which is killed with every request that waits.  */
uint64_t mq_bounds_bytes (uint32_t memory_mb);
/* Whether a connection may buffer BYTES of a request while all others buffer
   OTHERS of the LIMIT.  A large request leaves half of it to small ones and to
   answers; one alone is limited by the configuration only.  */
bool mq_bounds_admits_body (uint64_t limit, uint64_t others, uint64_t bytes);
/* Likewise for an answer.  */
bool mq_bounds_admits_answer (uint64_t limit, uint64_t others, uint64_t bytes);

#endif
