/* large_worker.h - worker that answers each request with a body of a given
   size, at the pace at which it is read.

   Needs: tevent.  */

#ifndef LARGE_WORKER_H
#define LARGE_WORKER_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct large_worker;

struct large_worker *large_worker_create (TALLOC_CTX *ctx,
                                          struct tevent_context *ev,
                                          size_t answer_bytes);
void large_worker_destroy (struct large_worker *worker);
uint16_t large_worker_port (const struct large_worker *worker);
/* Requests received whole.  */
int large_worker_request_count (const struct large_worker *worker);

#endif
