/* router_suspect_watch.c - settles the ends of runs at workers, and tells
   other hosts of them (suspects.h).

   Needs: router_state.h, router_probe.h, clock.h.  */

#include "core/id.h"
#include "net/clock.h"
#include "router_probe.h"
#include "router_state.h"

/* Interval of looking at workers while an end is open, and else.  */
#define SCAN_MS 50U
#define IDLE_MS 1000U
/* Ends that one frame may have, and that wait to be told.  */
#define ENDS_MAX 64U
/* Delay of a frame: the connections of a worker that ends break in one turn of
   the loop.  */
#define TELL_MS 1U
/* Size of a frame with one end, at most.  */
#define END_BYTES 64U
/* Bound on what a host sends of requests under which one worker ended.  Those
   with more are always told.  */
#define BYTES_PER_S 1900U
#define BURST_BYTES 16384U
/* Time within which a host that is not cut off hears of some worker.  */
#define HEAR_OTHERS_MS 250U
/* Bound on the rows that a host writes.  */
#define WRITES_PER_S 2U
#define BURST_WRITES 8U
/* Units of struct bucket.  */
#define BUCKET_UNIT 1000U
/* Health checks in progress.  */
#define PROBES_MAX 16U
/* Log lines in each LOG_MS at most.  */
#define LOG_MS 1000U
#define LOG_LINES_MAX 16U

/**
 * struct bucket - a bound on a rate, full at first
 * @level: what is left, in 1 / BUCKET_UNIT
 * @set_ms: time of the last change, local monotonic clock
 */
struct bucket
{
  uint64_t level;
  uint64_t set_ms;
};

/**
 * struct mq_suspect_watch - requests under which workers may have ended
 * @told: ends that wait to be told, aged at @told_ms
 * @told_ms: when each of them was added, local monotonic clock
 * @tell_timer: NULL if none waits
 * @bytes: what may be sent of first ends
 * @writes: rows that may be written
 * @scan_timer: when workers are looked at next
 * @rows_asked: the rows of ended runs are being read, or were
 * @asked: other hosts were asked for what they know
 * @asked_listed: since they were listed
 */
struct mq_suspect_watch
{
  struct mq_router *router;
  struct mq_suspects *suspects;
  struct mq_suspects_end told[ENDS_MAX];
  uint64_t told_ms[ENDS_MAX];
  size_t told_count;
  struct mq_timer *tell_timer;
  struct bucket bytes;
  struct bucket writes;
  uint32_t probes;
  struct mq_timer *scan_timer;
  uint64_t log_ms;
  uint32_t log_lines;
  bool rows_asked;
  bool asked;
  bool asked_listed;
};

/**
 * struct check - a health check of a worker at which a run broke off
 */
struct check
{
  struct mq_suspect_watch *watch;
  struct mq_suspects_end end;
  uint64_t ended_ms;
};

struct mq_suspects *
mq_suspect_watch_list (struct mq_suspect_watch *watch)
{
  return watch->suspects;
}

static void
log_settled (struct mq_suspect_watch *watch, const struct mq_suspects_end *end)
{
  struct mq_router *router = watch->router;
  uint64_t now = mq_clock_ms ();
  char work[MQ_ID_TEXT];
  struct mq_json_line line;

  if (now - watch->log_ms >= LOG_MS)
    {
      watch->log_ms = now;
      watch->log_lines = 0;
    }
  if (watch->log_lines++ >= LOG_LINES_MAX)
    return;
  mq_id_format (end->work, work);
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_RUN_END_SETTLED);
  mq_json_text (&line, "work", work);
  mq_json_number (&line, "worker_start", end->worker);
  mq_json_number (&line, "ended", end->state == MQ_SUSPECTS_ENDED ? 1 : 0);
  mq_json_number (&line, "ran_ms", end->ran_ms);
  mq_json_number (&line, "age_ms", end->age_ms);
  mq_json_number (&line, "hosts", mq_relay_host_count (router->relay));
  mq_json_number (&line, "told", mq_relay_ends_hosts (router->relay));
  mq_json_end (&line);
}

static void
note_settled (const struct mq_suspects_end *end, void *user)
{
  struct mq_suspect_watch *watch = user;
  struct mq_router_counters *counters = &watch->router->counters;

  if (end->state == MQ_SUSPECTS_ENDED)
    counters->run_ends++;
  else
    counters->run_ends_alive++;
  log_settled (watch, end);
}

/* Telling other hosts */

/* Failure: a host that is held up tells of an end as if it were new, and the
   run that began at once after it seems to overlap with it.  */
static void
age_told (struct mq_suspect_watch *watch)
{
  uint64_t now = mq_clock_ms ();

  for (size_t i = 0; i < watch->told_count; i++)
    watch->told[i].age_ms += (uint32_t)(now - watch->told_ms[i]);
}

static void
send_told (void *data)
{
  struct mq_suspect_watch *watch = data;
  struct mq_router *router = watch->router;

  watch->tell_timer = NULL;
  age_told (watch);
  router->counters.run_ends_sent += mq_relay_send_ends (
      router->relay, watch->told, watch->told_count, false);
  watch->told_count = 0;
}

static void
tell (struct mq_suspect_watch *watch, const struct mq_suspects_end *end)
{
  if (mq_relay_host_count (watch->router->relay) == 0)
    return;
  if (watch->told_count == ENDS_MAX)
    {
      TALLOC_FREE (watch->tell_timer);
      send_told (watch);
    }
  watch->told_ms[watch->told_count] = mq_clock_ms ();
  watch->told[watch->told_count++] = *end;
  if (watch->tell_timer == NULL)
    watch->tell_timer
        = mq_timer_add (watch, watch->router->ev, TELL_MS, send_told, watch);
}

/* Takes COST from BUCKET; false if it has less.  */
static bool
take (struct bucket *bucket, uint64_t cost, uint64_t per_s, uint64_t burst)
{
  uint64_t now = mq_clock_ms ();

  bucket->level += (now - bucket->set_ms) * per_s;
  bucket->set_ms = now;
  if (bucket->level > burst * BUCKET_UNIT)
    bucket->level = burst * BUCKET_UNIT;
  if (bucket->level < cost * BUCKET_UNIT)
    return false;
  bucket->level -= cost * BUCKET_UNIT;
  return true;
}

/* Takes the bytes of one end for all receivers from the bound.  */
static bool
may_tell_first (struct mq_suspect_watch *watch)
{
  size_t hosts = mq_relay_host_count (watch->router->relay);
  size_t told = hosts < MQ_RELAY_KEEPERS_MAX ? hosts : MQ_RELAY_KEEPERS_MAX;

  return take (&watch->bytes, END_BYTES * told, BYTES_PER_S, BURST_BYTES);
}

/* Failure: while connections break everywhere, rows of ended runs use up the
   transactions that the table does for the rows of hosts.  */
static bool
may_write (struct mq_suspect_watch *watch)
{
  return take (&watch->writes, 1, WRITES_PER_S, BURST_WRITES);
}

/* Settling */

/* Settles the end of CHECK, which is freed.  */
static void
settle_check (struct check *check, enum mq_suspects_state state)
{
  struct mq_suspect_watch *watch = check->watch;
  struct mq_suspects_end end = check->end;
  uint64_t now = mq_clock_ms ();

  end.age_ms = (uint32_t)(now - check->ended_ms);
  end.state = state;
  talloc_free (check);
  mq_suspects_record (watch->suspects, &end, now);
  note_settled (&end, watch);
  tell (watch, &end);
}

/* A worker whose connection broke and that can't be reached has ended, unless
   this host reaches none: then it is cut off itself.  */
static void
on_heard_others (void *data)
{
  struct check *check = data;
  const struct mq_fleet *fleet = check->watch->router->fleet;

  if (mq_fleet_heard_other (fleet, check->end.worker,
                            check->ended_ms + MQ_SUSPECTS_READ_DELAY_MS))
    settle_check (check, MQ_SUSPECTS_ENDED);
  else
    talloc_free (check);
}

static void
on_unreachable (struct check *check)
{
  if (!check->end.lost
      || mq_timer_add (check, check->watch->router->ev, HEAR_OTHERS_MS,
                       on_heard_others, check)
             == NULL)
    talloc_free (check);
}

static void
on_checked (enum mq_probe_result result, void *user)
{
  struct check *check = user;

  check->watch->probes--;
  switch (result)
    {
    case MQ_PROBE_RUNS:
      settle_check (check, MQ_SUSPECTS_ALIVE);
      return;
    case MQ_PROBE_ENDED:
      settle_check (check, MQ_SUSPECTS_ENDED);
      return;
    case MQ_PROBE_UNREACHABLE:
      on_unreachable (check);
      return;
    case MQ_PROBE_UNKNOWN:
      talloc_free (check);
      return;
    }
}

static const char *
health_path (const struct mq_router *router, const char *service)
{
  const struct mq_route_service *info
      = router->routes == NULL
            ? NULL
            : mq_route_service_find (router->routes, service);

  return info == NULL ? "" : info->health_path;
}

/* The worker is not listed any more, or another start of it: settled by the
   next scan.  */
static const struct mq_fleet_member *
find_worker (const struct mq_router *router, const struct mq_suspects_end *end)
{
  uint32_t worker
      = mq_fleet_find_start (router->fleet, end->worker_id, end->worker);

  return worker == MQ_WORKER_NONE ? NULL
                                  : mq_fleet_member (router->fleet, worker);
}

static void
check_worker (struct mq_suspect_watch *watch,
              const struct mq_suspects_end *end)
{
  struct mq_router *router = watch->router;
  const struct mq_fleet_member *member = find_worker (router, end);
  const char *path
      = member == NULL ? "" : health_path (router, member->service);
  struct check *check;

  if (path[0] == '\0' || watch->probes >= PROBES_MAX)
    return;
  check = talloc_zero (watch, struct check);
  if (check == NULL)
    return;
  *check = (struct check){ watch, *end, mq_clock_ms () - end->age_ms };
  if (mq_probe_begin (check, router->ev, member, path, on_checked, check)
      == NULL)
    {
      talloc_free (check);
      return;
    }
  watch->probes++;
  router->counters.run_end_checks++;
}

static void schedule_scan (struct mq_suspect_watch *watch);

/* Records END; returns the number of ends of its request that count.  */
static uint32_t
record (struct mq_suspect_watch *watch, const struct mq_suspects_end *end)
{
  bool had_open = mq_suspects_has_open (watch->suspects);
  uint32_t ends = mq_suspects_record (watch->suspects, end, mq_clock_ms ());

  if (!had_open && mq_suspects_has_open (watch->suspects))
    {
      TALLOC_FREE (watch->scan_timer);
      schedule_scan (watch);
    }
  return ends;
}

static struct mq_suspects_sight
look (const struct mq_suspects_end *end, void *user)
{
  const struct mq_suspect_watch *watch = user;
  const struct mq_fleet *fleet = watch->router->fleet;
  uint32_t worker = mq_fleet_find_start (fleet, end->worker_id, end->worker);

  if (worker == MQ_WORKER_NONE)
    return (struct mq_suspects_sight){ .listed
                                       = !watch->router->workers_listed };
  return (struct mq_suspects_sight){
    .listed = true,
    .leaving = mq_fleet_member (fleet, worker)->leaving,
    .heard_ms = mq_fleet_last_activity_ms (fleet, worker),
  };
}

/* Hosts of the settings are known at once, the others once they are listed. */
static void
ask_once (struct mq_suspect_watch *watch)
{
  struct mq_router *router = watch->router;

  if (watch->asked_listed || (watch->asked && !router->hosts_listed))
    return;
  watch->asked_listed = router->hosts_listed;
  watch->asked = mq_relay_ask_ends (router->relay) > 0;
}

static void
read_rows_once (struct mq_suspect_watch *watch)
{
  if (!watch->rows_asked)
    watch->rows_asked = mq_suspect_rows_read (watch->router);
}

static void
on_scan (void *data)
{
  struct mq_suspect_watch *watch = data;

  watch->scan_timer = NULL;
  ask_once (watch);
  read_rows_once (watch);
  if (!mq_suspects_is_empty (watch->suspects))
    mq_suspects_settle (watch->suspects, look, note_settled, watch,
                        mq_clock_ms ());
  schedule_scan (watch);
}

static void
schedule_scan (struct mq_suspect_watch *watch)
{
  bool waits = mq_suspects_has_open (watch->suspects) || !watch->asked_listed
               || !watch->rows_asked;

  watch->scan_timer = mq_timer_add (watch, watch->router->ev,
                                    waits ? SCAN_MS : IDLE_MS, on_scan, watch);
}

struct mq_suspect_watch *
mq_suspect_watch_create (struct mq_router *router)
{
  struct mq_suspect_watch *watch
      = talloc_zero (router, struct mq_suspect_watch);

  if (watch == NULL)
    return NULL;
  watch->router = router;
  watch->suspects = mq_suspects_create (watch);
  if (watch->suspects == NULL)
    {
      talloc_free (watch);
      return NULL;
    }
  schedule_scan (watch);
  return watch;
}

void
mq_suspect_watch_broke (struct mq_suspect_watch *watch,
                        const struct mq_suspects_end *end)
{
  uint64_t now = mq_clock_ms ();
  uint32_t ends = record (watch, end);
  struct mq_suspects_end ends_of[MQ_SUSPECTS_KEPT_MAX];
  size_t count;

  if (ends < MQ_SUSPECTS_ENDS_ALONE)
    {
      if (may_tell_first (watch))
        tell (watch, end);
      return;
    }
  /* Those of other hosts too, which may not know the same hosts.  */
  count = mq_suspects_ends (watch->suspects, end->work, ends_of, now);
  if (may_write (watch))
    mq_suspect_rows_update (watch->router, end->work);
  for (size_t i = 0; i < count; i++)
    {
      tell (watch, &ends_of[i]);
      if (ends_of[i].state == MQ_SUSPECTS_OPEN)
        check_worker (watch, &ends_of[i]);
    }
}

void
mq_suspect_watch_served (struct mq_suspect_watch *watch, struct mq_id work)
{
  struct mq_suspects_end end = { .work = work, .state = MQ_SUSPECTS_SERVED };
  uint32_t ends = mq_suspects_count (watch->suspects, work);
  bool has_row = ends >= MQ_SUSPECTS_ENDS_ALONE;

  if (!mq_suspects_clear (watch->suspects, work))
    return;
  if (has_row || may_tell_first (watch))
    tell (watch, &end);
  if (has_row && may_write (watch))
    mq_suspect_rows_remove (watch->router, work);
}

void
mq_suspect_watch_replaced (struct mq_suspect_watch *watch, uint64_t worker)
{
  if (mq_suspects_has_open (watch->suspects))
    mq_suspects_worker_ended (watch->suspects, worker, note_settled, watch,
                              mq_clock_ms ());
}

void
mq_suspect_watch_take (struct mq_suspect_watch *watch,
                       const struct mq_suspects_end *end)
{
  if (mq_suspects_is_valid (end))
    (void)record (watch, end);
  else
    watch->router->counters.run_ends_invalid++;
}

/* Messages of other hosts */

static void
take_end (struct mq_suspect_watch *watch, const struct mq_suspects_end *end)
{
  struct mq_router *router = watch->router;
  uint32_t ends;

  if (end->state == MQ_SUSPECTS_SERVED)
    {
      (void)mq_suspects_clear (watch->suspects, end->work);
      return;
    }
  if (!mq_suspects_is_valid (end))
    {
      router->counters.run_ends_invalid++;
      return;
    }
  ends = record (watch, end);
  if (ends >= MQ_SUSPECTS_ENDS_ALONE
      && mq_relay_tells_everyone (router->relay, end->work))
    router->counters.run_ends_sent
        += mq_relay_send_ends (router->relay, end, 1, true);
}

void
mq_suspect_watch_receive (const struct mq_relay_run_ends *ends,
                          struct mq_relay_link *link, void *user)
{
  struct mq_router *router = user;
  struct mq_suspect_watch *watch = router->suspects;
  struct mq_suspects_end known[ENDS_MAX];

  if (watch == NULL)
    return;
  if (ends->wanted)
    {
      mq_relay_reply_ends (router->relay, link, ends->address, known,
                           mq_suspects_copy_ends (watch->suspects, known,
                                                  ENDS_MAX, mq_clock_ms ()));
      return;
    }
  router->counters.run_ends_received += ends->count;
  for (size_t i = 0; i < ends->count && i < ENDS_MAX; i++)
    take_end (watch, &ends->ends[i]);
}
