/* router_version.c - the software version at which a resumable stream runs.

   A stream that a caller resumes goes on at the version that wrote its first
   event.  Another host finds it by the stream's row, or by the program's
   record if there is no row (streams.h).
   Needs: router_request.h, router_turns.h, memory.h, clock.h.  */

#include "core/memory.h"
#include "net/clock.h"
#include "router_request.h"
#include "router_turns.h"

const char mq_stream_table[] = "stream";

/* Retention period of rows, seconds: no stream is resumed later.  */
#define STREAM_RETAIN_S (MQ_FLEET_VERSION_MEMORY_MS / 1000U)

/**
 * struct mq_row_write - a stream's row being written
 * @request: request whose events wait for the row; NULL if none do
 */
struct mq_row_write
{
  struct mq_router *router;
  struct mq_request *request;
  char *id;
  char part[MQ_PART_NAME_BYTES];
  uint64_t version;
  uint32_t tries;
};

static bool
resumes_stream (const struct mq_request *request)
{
  return request->route->kind == MQ_ROUTE_STREAM && request->route->resumable
         && request->fields.last_event != NULL;
}

static bool
row_part_down (const struct mq_request *request, const char *id,
               char part[MQ_PART_NAME_BYTES])
{
  mq_turn_select_part (part, id, 0);
  return mq_turns_part_unavailable (request->router->turns, part);
}

static void
set_version (struct mq_request *request, uint64_t version)
{
  request->has_version = true;
  request->version = version;
}

/* Sets the version of a resumed stream, and the service of its route that has
   it: a route with several ones may have chosen another for this attempt.  */
static void
set_resumed_version (struct mq_request *request, uint64_t version)
{
  const struct mq_fleet *fleet = request->router->fleet;
  const struct mq_path_route *route = request->route;

  set_version (request, version);
  for (size_t i = 0; i < route->backend_count; i++)
    if (mq_fleet_has_version (fleet, route->backends[i].service, version))
      {
        request->service = route->backends[i].service;
        request->service_info
            = mq_route_service_find (request->table, request->service);
        return;
      }
}

/* The only version that the service has had for MEMORY_MS.  Without feeds this
   host does not hear of others, unless the table is away: then no worker can
   be listed anew.  */
static uint64_t
sole_version (const struct mq_request *request, uint32_t memory_ms)
{
  const struct mq_router *router = request->router;

  if (!mq_rows_feeds_healthy (router->rows)
      && !mq_table_client_down (router->table_client))
    return 0;
  return mq_fleet_sole_version (router->fleet, request->service, memory_ms,
                                mq_clock_ms ());
}

/* Neither memory nor table tell the version.  REFUSAL: response if the route's
   workers have several.  */
static bool
use_sole_version (struct mq_request *request, enum mq_refusal refusal)
{
  uint64_t version = sole_version (request, MQ_FLEET_VERSION_MEMORY_MS);

  if (version == 0 || request->route->backend_count > 1)
    {
      request->router->counters.streams_refused++;
      request_refuse (request, refusal);
      return false;
    }
  set_version (request, version);
  return true;
}

static bool
use_row (struct mq_request *request, const struct mq_rows_entry *found)
{
  struct mq_stream_row row;

  if (!mq_stream_row_unpack (found->value, &row) || row.version == 0)
    return use_sole_version (request, MQ_REFUSE_STREAM_UNKNOWN);
  set_resumed_version (request, row.version);
  return true;
}

/* A stream without a row runs at the version of its program's record.  */
static bool
use_program_version (struct mq_request *request)
{
  if (!request->is_turn || request->turn.stream_version == 0)
    return use_sole_version (request, MQ_REFUSE_STREAM_UNKNOWN);
  set_resumed_version (request, request->turn.stream_version);
  return true;
}

static void
on_row_read (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;
  bool known;

  request->row_read = NULL;
  if (result->status != MQ_STORE_OK)
    known = use_sole_version (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  else if (result->row_count > 0)
    known = use_row (request, &result->rows[0]);
  else
    known = use_program_version (request);
  if (!known)
    return;
  mq_streams_put (request->router->streams, request->resumes,
                  request->version);
  request_dispatch (request);
}

/* Returns true if the version is known; else the request is refused or waits
   for the stream's row.  */
static bool
find_version (struct mq_request *request)
{
  struct mq_router *router = request->router;
  char part[MQ_PART_NAME_BYTES];
  uint64_t version;

  /* Its record would lack the events before the last one.  */
  if (request->route->retains)
    {
      request_refuse (request, MQ_REFUSE_STREAM_UNKNOWN);
      return false;
    }
  if (request->resumes == NULL)
    return use_sole_version (request, MQ_REFUSE_STREAM_UNKNOWN);
  if (mq_streams_find (router->streams, request->resumes, &version)
      && version != 0)
    {
      set_resumed_version (request, version);
      return true;
    }
  if (row_part_down (request, request->resumes, part))
    return use_sole_version (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  router->counters.stream_reads++;
  request->row_read
      = mq_table_client_get (router->table_client, mq_stream_table, part,
                             request->resumes, on_row_read, request);
  return false;
}

/* While its row cannot be written, a stream of a budgeted program begins only
   at the version that its program's record tells.

   Failure: the table is away, and other hosts take the version in the record
   for that of a stream without a row.  */
static bool
restrict_new_stream (struct mq_request *request)
{
  char part[MQ_PART_NAME_BYTES];

  request->version = 0;
  request->restricted = false;
  if (!request->route->resumable || !request->is_turn
      || !request->turn.budgeted
      || !row_part_down (request, request->turn_id, part))
    return true;
  request->restricted = true;
  request->version = request->turn.stream_version;
  if (request->version == 0)
    request->version = sole_version (request, 0);
  if (request->version != 0)
    return true;
  request_refuse (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  return false;
}

bool
request_resolve_version (struct mq_request *request)
{
  if (request->has_version)
    return true;
  if (!resumes_stream (request))
    return restrict_new_stream (request);
  request->router->counters.streams_taken_up++;
  return find_version (request);
}

uint64_t
request_first_version (const struct mq_request *request)
{
  const struct mq_fleet *fleet = request->router->fleet;
  uint64_t version;

  if (resumes_stream (request))
    return 0;
  version = mq_fleet_home_version (fleet, request->home);
  return version != 0 ? version
                      : mq_fleet_common_version (fleet, request->service);
}

/* Rows */

static void write_row (struct mq_row_write *write);

static void
end_write (struct mq_row_write *write, bool stored)
{
  struct mq_request *request = write->request;

  talloc_free (write);
  if (request == NULL)
    return;
  request->row_write = NULL;
  request_on_row_written (request, stored);
}

static void
log_failed_row (const struct mq_row_write *write,
                const struct mq_rows_result *result)
{
  struct mq_json_line line;

  mq_json_begin (&line, write->router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_STREAM_NOT_WRITTEN);
  mq_json_text (&line, "id", write->id);
  mq_json_text (&line, "how", mq_turn_write_failure (result->status));
  mq_json_number (&line, "tries", write->tries);
  mq_json_text (&line, "record_host", result->host);
  mq_json_end (&line);
}

static void
on_write_retry (void *data)
{
  write_row (data);
}

static bool
is_own_row (const struct mq_row_write *write,
            const struct mq_rows_result *result)
{
  struct mq_stream_row row;

  return result->row_count > 0
         && mq_stream_row_unpack (result->rows[0].value, &row)
         && row.version == write->version;
}

static void
on_row_written (const struct mq_rows_result *result, void *user)
{
  struct mq_row_write *write = user;
  struct mq_turns *turns = write->router->turns;

  /* An earlier attempt may have succeeded without a reply.  */
  if (result->status == MQ_STORE_OK
      || (result->status == MQ_STORE_CONFLICT && is_own_row (write, result)))
    end_write (write, true);
  else if (++write->tries >= MQ_TURN_ATTEMPTS_MAX
           || result->status == MQ_STORE_CONFLICT
           || result->status == MQ_STORE_REJECTED)
    {
      log_failed_row (write, result);
      end_write (write, false);
    }
  else
    (void)mq_check_alloc (
        mq_retry_schedule (turns, write->tries, on_write_retry, write));
}

static void
write_row (struct mq_row_write *write)
{
  struct mq_router *router = write->router;
  struct mq_stream_row row
      = { .version = write->version,
          .until_s = mq_turns_expiry_s (router->turns, STREAM_RETAIN_S) };
  struct mq_rows_entry entry = { .table = mq_stream_table,
                                 .part = write->part,
                                 .key = write->id,
                                 .version = MQ_VERSION_ABSENT };
  struct mq_bytes value = mq_stream_row_pack ((TALLOC_CTX *)write, &row);

  entry.value = value;
  router->counters.stream_writes++;
  (void)mq_table_client_commit (router->table_client, &entry, on_row_written,
                                write);
  talloc_free (value.data);
}

/* The write goes on when the request ends: its caller may resume the stream at
   once.  */
static void
begin_write (struct mq_request *request, bool wait)
{
  struct mq_row_write *write
      = mq_check_alloc (talloc_zero (request->router, struct mq_row_write));

  write->router = request->router;
  write->id = mq_check_alloc (talloc_strdup (write, request->turn_id));
  write->version = request->version;
  mq_turn_select_part (write->part, write->id, 0);
  if (wait)
    {
      write->request = request;
      request->row_write = write;
    }
  write_row (write);
}

void
request_note_version (struct mq_request *request)
{
  struct mq_router *router = request->router;
  bool budgeted = request->is_turn && request->turn.budgeted;
  char part[MQ_PART_NAME_BYTES];

  if (request->has_version || !request->route->resumable)
    return;
  set_version (request,
               mq_fleet_worker_version (router->fleet, request->worker));
  mq_streams_put (router->streams, request->turn_id, request->version);
  if (request->restricted)
    return;
  switch (mq_stream_record (
      request->version, budgeted ? request->turn.stream_version : 0, budgeted))
    {
    case MQ_STREAM_NO_ROW:
      return;
    case MQ_STREAM_ROW_FIRST:
      begin_write (request, true);
      return;
    case MQ_STREAM_ROW_BESIDE:
      if (!row_part_down (request, request->turn_id, part))
        begin_write (request, false);
      return;
    }
}

void
request_cancel_row_calls (struct mq_request *request)
{
  mq_table_client_cancel (request->row_read);
  request->row_read = NULL;
  if (request->row_write != NULL)
    request->row_write->request = NULL;
  request->row_write = NULL;
}
