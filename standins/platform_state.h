/* platform_state.h - internal state of the stand-in platform.

   Shared by platform_server.c (platform API) and platform_switch.c (control
   requests).
   Needs: platform_server.h, faults.h, host_registry.h, weight_store.h.  */

#ifndef MQ_PLATFORM_STATE_H
#define MQ_PLATFORM_STATE_H

#include "net/http_server.h"
#include "faults.h"
#include "host_registry.h"
#include "platform_server.h"
#include "weight_store.h"

/* Spaces requests evenly at a fixed rate.  */
struct mq_request_pacer
{
  uint64_t next_us;
};

struct mq_platform_server
{
  struct tevent_context *ev;
  struct mq_http_server *http;
  struct mq_table *table;
  struct mq_faults *faults;
  struct mq_host_registry *hosts;
  struct mq_weight_store *weights;
  struct mq_request_pacer reads;
  struct mq_request_pacer writes;
  uint64_t waiting;
};

struct timeval mq_standin_timeval_after_us (uint64_t us);
/* Handles a control request below /standin/.  */
void mq_platform_handle_control (struct mq_platform_server *server,
                                 struct mq_http_request *request);

#endif
