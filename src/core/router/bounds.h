/* bounds.h - what callers may hold of a host's descriptors.

   Pure.
   Needs: types.h.  */

#ifndef MQ_BOUNDS_H
#define MQ_BOUNDS_H

#include "../types.h"

/* Connections that callers may hold of FILES_MAX open files.

   Failure: callers hold all descriptors, and no connection to a worker, to the
   table or to another host can be opened; their requests are refused.  */
size_t mq_bounds_callers (uint64_t files_max);

#endif
