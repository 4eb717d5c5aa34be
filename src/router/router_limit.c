/* router_limit.c - rate limits of organisations.

   Needs: router_request.h.  */

#include "router_request.h"

static bool
has_limit (const struct mq_request *request)
{
  return request->org != NULL && request->org->limit.rate > 0;
}

static void
refuse_over_limit (struct mq_request *request, uint32_t retry_ms)
{
  request->router->counters.over_limit++;
  request_refuse_until (request, MQ_REFUSE_OVER_LIMIT, retry_ms);
}

static void
handle_permit (struct mq_request *request, enum mq_permit_state state,
               uint32_t retry_ms)
{
  switch (state)
    {
    case MQ_PERMIT_GRANTED:
      request->permitted = true;
      request_dispatch (request);
      return;
    case MQ_PERMIT_OVER_LIMIT:
      refuse_over_limit (request, retry_ms);
      return;
    case MQ_PERMIT_UNKNOWN:
      request->router->counters.limit_unknown++;
      request_refuse (request, MQ_REFUSE_NO_PERMIT);
      return;
    case MQ_PERMIT_PENDING:
      return;
    }
}

static void
on_permit (enum mq_permit_state state, uint32_t retry_ms, void *user)
{
  struct mq_request *request = user;

  request->permit = NULL;
  handle_permit (request, state, retry_ms);
}

void
request_acquire_permit (struct mq_request *request)
{
  enum mq_permit_state state = MQ_PERMIT_GRANTED;
  uint32_t retry_ms = 0;

  if (has_limit (request))
    state = mq_permit_request (request->router, request->org,
                               request->begins_program, on_permit, request,
                               &request->permit, &retry_ms);
  handle_permit (request, state, retry_ms);
}

bool
request_refuse_over_limit (struct mq_request *request)
{
  uint32_t retry_ms = 0;

  if (!has_limit (request)
      || !mq_permit_would_refuse (request->router, request->org,
                                  request->begins_program, &retry_ms))
    return false;
  refuse_over_limit (request, retry_ms);
  return true;
}
