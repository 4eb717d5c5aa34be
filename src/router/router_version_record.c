/* router_version_record.c - the row of a service: the versions at which its
   resumable streams may be running.

   A host that has just started learns from it what it can't remember.  A
   version is added when its workers are listed, and before the first event of
   a stream at it is forwarded; the row is shortened by a host that has known
   one version alone for MQ_FLEET_VERSION_MEMORY_MS.
   Needs: router_turns.h, router_version_record.h, id.h, memory.h, clock.h.  */

#include "router_version_record.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "router_turns.h"

static const char service_table[] = "service_versions";

/**
 * struct mq_version_record - a version being added to a service's row
 * @done: NULL if nobody waits
 * @has_read: the row was read, and had the version @known,
 *            MQ_VERSION_ABSENT if there was none
 * @row: to be written
 */
struct mq_version_record
{
  struct mq_router *router;
  mq_version_recorded *done;
  void *user;
  char *service;
  char part[MQ_PART_NAME_BYTES];
  uint64_t version;
  bool has_read;
  uint64_t known;
  struct mq_service_row row;
  uint32_t tries;
};

/* Without feeds this host does not hear of other versions, unless the table is
   away: then no worker can be listed anew.  */
uint64_t
mq_router_sole_version (const struct mq_router *router, const char *service,
                        uint32_t memory_ms)
{
  if (!mq_rows_feeds_healthy (router->rows)
      && !mq_table_client_down (router->table_client))
    return 0;
  return mq_fleet_sole_version (router->fleet, service, memory_ms,
                                mq_clock_ms ());
}

bool
mq_version_row_down (const struct mq_router *router, const char *service)
{
  char part[MQ_PART_NAME_BYTES];

  mq_turn_select_part (part, service, 0);
  return mq_turns_part_unavailable (router->turns, part);
}

struct mq_table_client_call *
mq_version_row_read (struct mq_router *router, const char *service,
                     mq_rows_done *done, void *user)
{
  char part[MQ_PART_NAME_BYTES];

  mq_turn_select_part (part, service, 0);
  router->counters.stream_reads++;
  return mq_table_client_get (router->table_client, service_table, part,
                              service, done, user);
}

void
mq_version_row_learn (struct mq_router *router, const char *service,
                      uint64_t version, const struct mq_service_row *row)
{
  mq_fleet_set_recorded (router->fleet, service, version,
                         mq_service_row_sole (row) == version,
                         mq_service_row_settled_s (row, version));
}

bool
mq_version_settled (const struct mq_router *router, const char *service,
                    uint64_t version)
{
  return mq_version_is_settled (
      mq_fleet_settled_s (router->fleet, service, version),
      mq_rows_clock_s (router->rows));
}

static void read_row (struct mq_version_record *record);

static void
end_record (struct mq_version_record *record, bool stored)
{
  mq_version_recorded *done = record->done;
  void *user = record->user;

  talloc_free (record);
  if (done != NULL)
    done (stored, user);
}

static void
on_retry (void *data)
{
  read_row (data);
}

static void
try_again (struct mq_version_record *record)
{
  if (++record->tries >= MQ_TURN_ATTEMPTS_MAX)
    end_record (record, false);
  else
    (void)mq_check_alloc (mq_retry_schedule (record->router->turns,
                                             record->tries, on_retry, record));
}

static void
end_recorded (struct mq_version_record *record)
{
  mq_version_row_learn (record->router, record->service, record->version,
                        &record->row);
  end_record (record, true);
}

static void
on_written (const struct mq_rows_result *result, void *user)
{
  struct mq_version_record *record = user;

  /* The next read tells whether the write took place.  */
  if (result->status == MQ_STORE_OK)
    end_recorded (record);
  else
    try_again (record);
}

static void
write_row (struct mq_version_record *record)
{
  struct mq_rows_entry entry = { .table = service_table,
                                 .part = record->part,
                                 .key = record->service,
                                 .version = record->known };
  struct mq_bytes value
      = mq_service_row_pack ((TALLOC_CTX *)record, &record->row);

  entry.value = value;
  record->router->counters.stream_writes++;
  (void)mq_table_client_commit (record->router->table_client, &entry,
                                on_written, record);
  talloc_free (value.data);
}

/* Reads the row of RESULT, and returns whether it has changed since it was
   read before.  */
static bool
take_row (struct mq_version_record *record,
          const struct mq_rows_result *result)
{
  uint64_t known
      = result->row_count > 0 ? result->rows[0].version : MQ_VERSION_ABSENT;
  bool changed = record->has_read && known != record->known;

  record->has_read = true;
  record->known = known;
  record->row.count = 0;
  /* What an unreadable row said is unknown.  */
  if (result->row_count > 0
      && !mq_service_row_unpack (result->rows[0].value, &record->row))
    (void)mq_service_row_add (&record->row, 0, 0);
  return changed;
}

/* When the version is settled if it is added to the row now.  */
static uint64_t
settled_from (const struct mq_version_record *record)
{
  if (record->known == MQ_VERSION_ABSENT)
    return MQ_VERSION_SETTLED_FIRST_S;
  return mq_rows_clock_s (record->router->rows) + MQ_VERSION_SETTLE_S;
}

/* Failure: a row of several versions is shortened by a write that was decided
   before this version was listed, and that the table performs late.  Such a
   write fails once the row has changed.  */
static void
on_read (const struct mq_rows_result *result, void *user)
{
  struct mq_version_record *record = user;
  bool changed;

  if (result->status != MQ_STORE_OK)
    {
      try_again (record);
      return;
    }
  changed = take_row (record, result);
  if (mq_service_row_settled_s (&record->row, record->version) != 0
      && (changed || record->row.count == 1))
    {
      end_recorded (record);
      return;
    }
  if (mq_router_sole_version (record->router, record->service,
                              MQ_FLEET_VERSION_MEMORY_MS)
      == record->version)
    mq_service_row_keep (&record->row, record->version);
  if (mq_service_row_add (&record->row, record->version,
                          settled_from (record)))
    write_row (record);
  else
    end_record (record, false);
}

static void
read_row (struct mq_version_record *record)
{
  (void)mq_version_row_read (record->router, record->service, on_read, record);
}

void
mq_version_record (struct mq_router *router, const char *service,
                   uint64_t version, mq_version_recorded *done, void *user)
{
  struct mq_version_record *record
      = mq_check_alloc (talloc_zero (router, struct mq_version_record));

  record->router = router;
  record->done = done;
  record->user = user;
  record->service = mq_check_alloc (talloc_strdup (record, service));
  record->version = version;
  mq_turn_select_part (record->part, service, 0);
  read_row (record);
}

/* Pause between two looks for versions to record, and the part of it that each
   host adds: those that start together read the rows one after another.  */
#define CHECK_MS 200U
#define CHECK_HOST_MS 5U

static void
on_version_checked (bool stored, void *user)
{
  struct mq_router *router = user;

  /* The next look tries again.  */
  (void)stored;
  router->version_check_pending = false;
}

/* The only version for long of a service whose row names several, 0 if there
   is none.  */
static uint64_t
remaining_version (const struct mq_router *router, const char *service)
{
  if (!mq_fleet_recorded_several (router->fleet, service))
    return 0;
  return mq_router_sole_version (router, service, MQ_FLEET_VERSION_MEMORY_MS);
}

static bool
check_service (struct mq_router *router, const char *service)
{
  uint64_t version = mq_fleet_unrecorded_version (router->fleet, service);

  if (version == 0)
    version = remaining_version (router, service);
  if (version == 0 || mq_version_row_down (router, service))
    return false;
  router->version_check_pending = true;
  mq_version_record (router, service, version, on_version_checked, router);
  return true;
}

static bool
check_route (struct mq_router *router, const struct mq_path_route *route)
{
  if (route->kind != MQ_ROUTE_STREAM || !route->resumable)
    return false;
  for (size_t i = 0; i < route->backend_count; i++)
    if (check_service (router, route->backends[i].service))
      return true;
  return false;
}

void
mq_version_sweep (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();
  size_t hosts = mq_relay_host_count (router->relay);
  uint32_t pause = CHECK_MS + (uint32_t)hosts * CHECK_HOST_MS;

  if (mq_rows_feeds_healthy (router->rows))
    router->feeds_healthy_ms = now;
  if (router->routes == NULL || router->version_check_pending
      || now < router->version_check_ms)
    return;
  router->version_check_ms
      = now + pause / 2 + mq_random_below (&router->random, pause);
  for (size_t i = 0; i < router->routes->route_count; i++)
    if (check_route (router, &router->routes->routes[i]))
      return;
}
