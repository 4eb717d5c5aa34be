/* router_limit.c - rate limits of organisations.

   A program's first turn takes its permit before the turn is prepared, so that
   a program that is refused leaves no record.  A record therefore shows that a
   program has begun, at whichever host.
   Needs: router_request.h, program_need.h, quota.h, id.h, clock.h.  */

#include "core/id.h"
#include "core/organisation/program_need.h"
#include "core/organisation/quota.h"
#include "net/clock.h"
#include "router_request.h"
#include <string.h>

/* Hash seed of programs; differs from those that choose workers.  */
#define NEED_SEED 4U
/* Longest time from the question for a permit to its use.  */
#define PERMIT_USE_MS MQ_QUOTA_REPLY_TIMEOUT_MS

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

/* Where the record cannot be read, the limit decides.  */
static void
on_record (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;

  request->record_call = NULL;
  if (result->status != MQ_STORE_OK || result->row_count == 0)
    {
      refuse_over_limit (request, request->limit_retry_ms);
      return;
    }
  request->router->counters.limit_begun++;
  request->begins_program = false;
  request_prepare_turn (request);
}

/* Refuses what is over the limit, a first turn only if its program has no
   record.  On a route that retains turns, a turn without a previous one is the
   first for certain.

   Failure: a later turn of a program reaches a host that has not served it, is
   taken for a first turn and refused.  */
static void
refuse_unless_begun (struct mq_request *request, uint32_t retry_ms)
{
  struct mq_router *router = request->router;

  request->limit_retry_ms = retry_ms;
  if (!request->begins_program || request->route->retains
      || !request->fields.has_budget
      || mq_table_client_down (router->table_client))
    refuse_over_limit (request, retry_ms);
  else
    request->record_call = mq_turns_read_record (
        router->turns, request->program, on_record, request);
}

static enum mq_permit_kind
permit_kind (const struct mq_request *request)
{
  if (request->begins_program)
    return MQ_PERMIT_BEGINS;
  return request->program != NULL ? MQ_PERMIT_CONTINUES : MQ_PERMIT_SINGLE;
}

/* Learns what programs need, where organisations are configured.  */
static void
record_need (struct mq_request *request)
{
  struct mq_router *router = request->router;

  if (request->org == NULL || request->program == NULL)
    return;
  if (router->program_needs == NULL)
    router->program_needs = mq_program_needs_create (router);
  if (router->program_needs == NULL)
    return;
  mq_program_needs_record (
      router->program_needs, request->route->name,
      mq_hash_bytes (request->program, strlen (request->program), NEED_SEED),
      request->begins_program, mq_clock_ms ());
}

static struct mq_program_need
expected_need (const struct mq_request *request)
{
  struct mq_program_needs *needs = request->router->program_needs;

  if (needs == NULL || !request->begins_program)
    return (struct mq_program_need){ 0 };
  return mq_program_needs_of (needs, request->route->name, mq_clock_ms ());
}

void
request_log_limit (const struct mq_request *request, struct mq_json_line *line)
{
  if (request->limit_retry_ms == 0)
    return;
  mq_json_number (line, "limit_retry_ms", request->limit_retry_ms);
  mq_json_number (line, "begins", request->begins_program);
  mq_json_number (line, "need", request->need.further);
  mq_json_number (line, "need_ms", request->need.life_ms);
}

static void
continue_with_permit (struct mq_request *request)
{
  if (!request->before_turn)
    {
      request_dispatch (request);
      return;
    }
  request->before_turn = false;
  request_begin_program (request);
}

static void
handle_permit (struct mq_request *request, enum mq_permit_state state,
               uint32_t retry_ms)
{
  switch (state)
    {
    case MQ_PERMIT_GRANTED:
      request->permitted = true;
      record_need (request);
      continue_with_permit (request);
      return;
    case MQ_PERMIT_OVER_LIMIT:
      refuse_unless_begun (request, retry_ms);
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
    {
      request->need = expected_need (request);
      state = mq_permit_request (
          request->router, request->org, permit_kind (request), &request->need,
          on_permit, request, &request->permit, &retry_ms);
    }
  handle_permit (request, state, retry_ms);
}

void
request_acquire_first_permit (struct mq_request *request)
{
  request->before_turn = true;
  request->permit_until_ms = mq_clock_ms () + PERMIT_USE_MS;
  request_acquire_permit (request);
}

bool
request_has_permit (struct mq_request *request)
{
  if (!request->permitted || request->permit_until_ms == 0)
    return request->permitted;
  request->permitted = mq_clock_ms () < request->permit_until_ms;
  request->permit_until_ms = 0;
  request->begins_program = request->begins_program && request->permitted;
  return request->permitted;
}

bool
request_refuse_over_limit (struct mq_request *request)
{
  uint32_t retry_ms = 0;

  if (!has_limit (request)
      || !mq_permit_would_refuse (request->router, request->org,
                                  permit_kind (request), &retry_ms))
    return false;
  refuse_unless_begun (request, retry_ms);
  return true;
}
