/* router_version.c - the software version at which a resumable stream runs.

   A stream that a caller resumes goes on at the version that wrote its first
   event.  Another host finds it by the stream's row, or by the program's
   record if there is no row (streams.h).
   Needs: router_request.h, router_turns.h, router_version_record.h,
   memory.h, clock.h.  */

#include "core/memory.h"
#include "net/clock.h"
#include "router_request.h"
#include "router_turns.h"
#include "router_version_record.h"

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

static void
refuse_resumed (struct mq_request *request, enum mq_refusal refusal)
{
  request->router->counters.streams_refused++;
  request_refuse (request, refusal);
}

/* A version that this host has not known for long is the service's only one
   if the service's row says so as well.

   Failure: a host that has just started can't remember that its service has
   had one version for longer than any stream lasts.  */
static void
on_service_read (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;
  uint64_t version
      = mq_router_sole_version (request->router, request->service, 0);
  struct mq_service_row row;

  request->row_read = NULL;
  if (result->status != MQ_STORE_OK)
    refuse_resumed (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  else if (version == 0 || result->row_count == 0
           || !mq_service_row_unpack (result->rows[0].value, &row)
           || mq_service_row_sole (&row) != version)
    refuse_resumed (request, MQ_REFUSE_STREAM_UNKNOWN);
  else
    {
      set_version (request, version);
      request_dispatch (request);
    }
}

/* Reads the service's row, which tells what HANDLER has to know.  */
static void
read_service_row (struct mq_request *request, mq_rows_done *handler)
{
  request->row_read = mq_version_row_read (request->router, request->service,
                                           handler, request);
}

/* Neither memory nor the stream's row nor its program tell the version.
   Returns false if the request is refused or waits for the service's row.
   REFUSAL: response if the route's workers have several.  */
static bool
use_sole_version (struct mq_request *request, enum mq_refusal refusal)
{
  struct mq_router *router = request->router;
  uint64_t version = mq_router_sole_version (router, request->service,
                                             MQ_FLEET_VERSION_MEMORY_MS);

  if (request->route->backend_count == 1 && version != 0)
    {
      set_version (request, version);
      return true;
    }
  if (request->route->backend_count > 1
      || mq_router_sole_version (router, request->service, 0) == 0
      || mq_version_row_down (router, request->service))
    refuse_resumed (request, refusal);
  else
    read_service_row (request, on_service_read);
  return false;
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

static void
dispatch_resumed (struct mq_request *request, uint64_t version)
{
  set_resumed_version (request, version);
  mq_streams_put (request->router->streams, request->resumes, version);
  request_dispatch (request);
}

static void
on_settled_read (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;
  struct mq_router *router = request->router;
  uint64_t version = request->record_version;
  struct mq_service_row row;

  request->row_read = NULL;
  if (result->status == MQ_STORE_OK && result->row_count > 0
      && mq_service_row_unpack (result->rows[0].value, &row)
      && mq_service_row_has (&row, version))
    mq_version_row_learn (router, request->service, version, &row);
  if (mq_version_settled (router, request->service, version))
    dispatch_resumed (request, version);
  else if (use_sole_version (request, result->status == MQ_STORE_OK
                                          ? MQ_REFUSE_STREAM_UNKNOWN
                                          : MQ_REFUSE_TABLE_UNAVAILABLE))
    dispatch_resumed (request, request->version);
}

/* The stream has no row, and its program's record names VERSION.

   Failure: the stream began at another version while the table was away, at a
   host that could not read the record.  */
static bool
use_record_version (struct mq_request *request, uint64_t version)
{
  struct mq_router *router = request->router;

  set_resumed_version (request, version);
  if (mq_version_settled (router, request->service, version))
    return true;
  request->has_version = false;
  request->version = 0;
  if (mq_version_row_down (router, request->service))
    return use_sole_version (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  request->record_version = version;
  read_service_row (request, on_settled_read);
  return false;
}

static void
on_record_read (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;
  struct mq_budget_record record = { 0 };
  bool known = result->status == MQ_STORE_OK && result->row_count > 0
               && mq_budget_unpack (result->rows[0].value, &record)
               && record.stream_version != 0;

  request->row_read = NULL;
  if (known)
    known = use_record_version (request, record.stream_version);
  else
    known = use_sole_version (request, result->status == MQ_STORE_OK
                                           ? MQ_REFUSE_STREAM_UNKNOWN
                                           : MQ_REFUSE_TABLE_UNAVAILABLE);
  if (known)
    dispatch_resumed (request, request->version);
}

/* Whether the turn has its tokens without the program's record.  */
static bool
lacks_record (const struct mq_request *request)
{
  return request->is_turn && request->turn.budgeted
         && request->turn.owner != NULL
         && request->turn.owner->budget.version == 0;
}

/* Failure: the part of the table with the program's record does not answer,
   the turn runs on tokens issued meanwhile, and its stream is refused for good
   though the record tells the version.  */
static bool
use_unread_record (struct mq_request *request)
{
  char part[MQ_PART_NAME_BYTES];

  if (row_part_down (request, request->program, part))
    return use_sole_version (request, MQ_REFUSE_TABLE_UNAVAILABLE);
  request->row_read = mq_turns_read_record (
      request->router->turns, request->program, on_record_read, request);
  return false;
}

static bool
use_program_version (struct mq_request *request)
{
  if (request->is_turn && request->turn.stream_version != 0)
    return use_record_version (request, request->turn.stream_version);
  if (lacks_record (request))
    return use_unread_record (request);
  return use_sole_version (request, MQ_REFUSE_STREAM_UNKNOWN);
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
  if (known)
    dispatch_resumed (request, request->version);
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

/* What mq_stream_may_begin has to know of the new stream.  */
static struct mq_stream_start
describe_start (const struct mq_request *request)
{
  const struct mq_router *router = request->router;
  const struct mq_fleet *fleet = router->fleet;
  const char *service = request->service;
  bool budgeted = request->is_turn && request->turn.budgeted;
  uint64_t program = budgeted ? request->turn.stream_version : 0;
  char part[MQ_PART_NAME_BYTES];

  return (struct mq_stream_start){
    .budgeted = budgeted,
    .row_down = budgeted && row_part_down (request, request->turn_id, part),
    .service_row_down = mq_version_row_down (router, service),
    .program_version = program,
    .program_recorded
    = program != 0 && mq_fleet_is_recorded (fleet, service, program),
    .sole_version = mq_fleet_recorded_sole (fleet, service),
    .all_recorded = mq_fleet_all_recorded (fleet, service),
    .recorded_version = mq_fleet_recorded_version (fleet, service),
    .blind_ms = mq_clock_ms () - router->feeds_healthy_ms,
  };
}

static bool
restrict_new_stream (struct mq_request *request)
{
  struct mq_stream_start start;

  request->version = 0;
  request->restricted = false;
  if (request->route->kind != MQ_ROUTE_STREAM || !request->route->resumable)
    return true;
  start = describe_start (request);
  if (!mq_stream_may_begin (&start, &request->version))
    {
      request->router->counters.streams_unrecorded++;
      request_refuse (request, MQ_REFUSE_TABLE_UNAVAILABLE);
      return false;
    }
  request->restricted = start.row_down;
  return true;
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

/* Whether the stream could have begun without its row.

   Failure: streams that begin before a host notices an outage end with 502. */
static bool
needs_no_row (const struct mq_row_write *write)
{
  struct mq_stream_start start;
  uint64_t version;

  if (write->request == NULL)
    return false;
  start = describe_start (write->request);
  start.row_down = true;
  start.service_row_down = true;
  return mq_stream_may_begin (&start, &version) && version == write->version;
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
      end_write (write,
                 result->status != MQ_STORE_CONFLICT && needs_no_row (write));
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
static struct mq_row_write *
create_write (struct mq_request *request, bool wait)
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
  return write;
}

static void
begin_write (struct mq_request *request, bool wait)
{
  write_row (create_write (request, wait));
}

/* What has to be durable before the first event of the stream is
   forwarded.  */
static enum mq_stream_record
stream_record (const struct mq_request *request)
{
  bool budgeted = request->is_turn && request->turn.budgeted;
  uint64_t program = budgeted ? request->turn.stream_version : 0;

  if (request->restricted)
    return MQ_STREAM_NO_ROW;
  if (!mq_version_settled (request->router, request->service, program))
    program = 0;
  return mq_stream_record (request->version, program, budgeted);
}

/* STORED: the service's row names the version.  */
static void
on_version_recorded (bool stored, void *user)
{
  struct mq_row_write *write = user;
  const struct mq_request *request = write->request;

  if (stored && request != NULL
      && stream_record (request) == MQ_STREAM_ROW_FIRST)
    write_row (write);
  else
    end_write (write, stored);
}

/* Has the service's row name the version of the stream, then writes the row of
   the stream if its events wait for that.  */
static void
record_version (struct mq_request *request)
{
  mq_version_record (request->router, request->service, request->version,
                     on_version_recorded, create_write (request, true));
}

void
request_note_version (struct mq_request *request)
{
  struct mq_router *router = request->router;
  enum mq_stream_record record;
  char part[MQ_PART_NAME_BYTES];

  if (request->has_version || !request->route->resumable)
    return;
  set_version (request,
               mq_fleet_worker_version (router->fleet, request->worker));
  mq_streams_put (router->streams, request->turn_id, request->version);
  record = stream_record (request);
  if (record == MQ_STREAM_ROW_BESIDE
      && !row_part_down (request, request->turn_id, part))
    begin_write (request, false);
  if (!mq_fleet_is_recorded (router->fleet, request->service,
                             request->version))
    record_version (request);
  else if (record == MQ_STREAM_ROW_FIRST)
    begin_write (request, true);
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
