/* capacity_takeover.c - cost of a takeover for the successors and the table,
   and load of idle owners on the table.

   Needs: capacity.h, tests/fleet.h.  */

#include "../tests/fleet.h"
#include "capacity.h"
#include <stdio.h>

enum
{
  MS = 1000,
  SECOND_US = 1000000,
  SETTLE_US = 30 * SECOND_US,
  CALLS_END_US = 3 * SECOND_US, /* time for calls to end */
  WINDOW_S = 60,
  POLL_US = 50 * MS,
  POLLS_MAX = 20 * 600,
  OPENS_PER_MS = 10,
  CUT_HOSTS = 40,
  CUT_PARTITIONS = 1000,
  CUT_PROGRAMS = 4000
};

static uint64_t
cpu_ns (const struct fleet_usage *use)
{
  uint64_t ns = 0;

  for (int kind = 0; kind < FLEET_KINDS; kind++)
    ns += use->cost[kind].ns;
  return ns;
}

/* Returns seconds until every partition is owned; -1 on timeout.  */
static double
wait_owned (struct fleet *fleet, uint32_t partitions)
{
  uint64_t start_us = fleet_now_us (fleet);

  for (int i = 0; i < POLLS_MAX; i++)
    {
      if (fleet_partitions_owned (fleet) == partitions)
        return (double)(fleet_now_us (fleet) - start_us) / SECOND_US;
      fleet_run (fleet, POLL_US);
    }
  return -1;
}

/* One owner crashes, and a new host takes over all partitions.  */

struct takeover_shape
{
  uint32_t programs;
  uint32_t history;
};

struct takeover
{
  double seconds;
  double reads;
  double writes;
  double bytes_read;
  double cpu_ms;
};

static struct takeover
measure_takeover (const struct takeover_shape *shape)
{
  struct fleet_options options = { .clock_ns = capacity_cpu_ns,
                                   .hosts = 1,
                                   .targets = 12,
                                   .partitions = 16,
                                   .answer_tokens = 24 };
  struct fleet *fleet = fleet_create (NULL, &options);
  const struct fleet_usage *use = fleet_read_usage (fleet);
  struct takeover result;

  wait_owned (fleet, options.partitions);
  for (uint32_t i = 1; i <= shape->programs; i++)
    {
      fleet_open (fleet, 0, i, shape->history, false);
      if (i % OPENS_PER_MS == 0)
        fleet_run (fleet, MS);
    }
  fleet_run (fleet, CALLS_END_US);
  fleet_kill (fleet, 0);
  fleet_reset_usage (fleet);
  fleet_start (fleet, 1);
  result.seconds = wait_owned (fleet, options.partitions);
  result.reads = (double)use->reads;
  result.writes = (double)use->writes;
  result.bytes_read = (double)use->bytes_read;
  result.cpu_ms = (double)cpu_ns (use) / SECOND_US;
  talloc_free (fleet);
  return result;
}

#define TAKEOVER_COLUMNS(X)                                                   \
  X (seconds, "s, lease of 5 s included")                                     \
  X (reads, "reads")                                                          \
  X (writes, "writes")                                                        \
  X (bytes_read, "bytes read")                                                \
  X (cpu_ms, "ms of processor")

static void
run_takeover (const char *name, const char *size_unit,
              struct takeover_shape *shape, uint32_t *grown,
              const uint32_t *sizes, size_t count)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
#define CREATE(column, unit)                                                  \
  struct capacity_series *column = capacity_series_create (                   \
      ctx, talloc_asprintf (ctx, "takeover.%s." #column, name), size_unit,    \
      unit);
  TAKEOVER_COLUMNS (CREATE)
#undef CREATE

  for (size_t i = 0; i < count; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        struct takeover result;

        *grown = sizes[i];
        result = measure_takeover (shape);
#define ADD(column, unit)                                                     \
  capacity_series_add (column, sizes[i], result.column);
        TAKEOVER_COLUMNS (ADD)
#undef ADD
      }
#define PRINT(column, unit) capacity_series_print (column);
  TAKEOVER_COLUMNS (PRINT)
#undef PRINT
  talloc_free (ctx);
}

void
capacity_run_takeover (void)
{
  static const uint32_t programs[] = { 10, 100, 1000, 10000 };
  static const uint32_t histories[] = { 1000, 10000, 40000, 120000 };
  struct takeover_shape shape = { .history = 1000 };

  run_takeover ("programs", "programs", &shape, &shape.programs, programs, 4);
  shape.programs = 100;
  run_takeover ("history", "tokens", &shape, &shape.history, histories, 4);
}

/* Idle entry hosts.  */

struct idle_load
{
  double reads;
  double writes;
  double read_bytes;
  double cpu_percent;
  double lost;
  double unowned;
};

static struct idle_load
measure_idle_load (uint32_t hosts)
{
  struct fleet_options options = { .clock_ns = capacity_cpu_ns,
                                   .hosts = hosts,
                                   .targets = 12,
                                   .partitions = 100,
                                   .connected = true };
  struct fleet *fleet = fleet_create (NULL, &options);
  const struct fleet_usage *use = fleet_read_usage (fleet);
  struct idle_load idle_load;
  uint64_t lost;

  fleet_run (fleet, SETTLE_US);
  lost = fleet_partitions_lost (fleet);
  fleet_reset_usage (fleet);
  fleet_run (fleet, WINDOW_S * (uint64_t)SECOND_US);
  idle_load.reads = (double)use->reads / WINDOW_S;
  idle_load.writes = (double)use->writes / WINDOW_S;
  idle_load.read_bytes = (double)use->bytes_read / WINDOW_S / hosts;
  idle_load.cpu_percent = (double)cpu_ns (use) / 1e9 / WINDOW_S / hosts * 100;
  idle_load.lost = (double)(fleet_partitions_lost (fleet) - lost);
  idle_load.unowned = options.partitions - fleet_partitions_owned (fleet);
  talloc_free (fleet);
  return idle_load;
}

#define IDLE_COLUMNS(X)                                                       \
  X (reads, "reads a second, all")                                            \
  X (writes, "writes a second, all")                                          \
  X (read_bytes, "bytes/s read by a host")                                    \
  X (cpu_percent, "% of a core, a host")                                      \
  X (lost, "partitions lost in 60 s")                                         \
  X (unowned, "partitions unowned at the end")

void
capacity_run_hosts (void)
{
  static const uint32_t sizes[] = { 3, 20, 40, 80, 160 };
  TALLOC_CTX *ctx = talloc_new (NULL);
#define CREATE(column, unit)                                                  \
  struct capacity_series *column                                              \
      = capacity_series_create (ctx, "hosts." #column, "entry hosts", unit);
  IDLE_COLUMNS (CREATE)
#undef CREATE

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct idle_load idle_load = measure_idle_load (sizes[i]);

#define ADD(column, unit)                                                     \
  capacity_series_add (column, sizes[i], idle_load.column);
      IDLE_COLUMNS (ADD)
#undef ADD
    }
#define PRINT(column, unit) capacity_series_print (column);
  IDLE_COLUMNS (PRINT)
#undef PRINT
  talloc_free (ctx);
}

/* Several owners crash at once.  */

static void
open_at_all_hosts (struct fleet *fleet)
{
  for (uint32_t i = 1; i <= CUT_PROGRAMS; i++)
    {
      uint32_t home = fleet_find_owner (fleet, i);

      if (home != UINT32_MAX)
        fleet_open (fleet, home, i, 1000, false);
      if (i % OPENS_PER_MS == 0)
        fleet_run (fleet, MS);
    }
  fleet_run (fleet, CALLS_END_US);
}

static void
measure_crash (const char *name, uint32_t crashed)
{
  struct fleet_options options = { .clock_ns = capacity_cpu_ns,
                                   .hosts = CUT_HOSTS,
                                   .targets = 12,
                                   .partitions = CUT_PARTITIONS,
                                   .answer_tokens = 24,
                                   .connected = true };
  struct fleet *fleet = fleet_create (NULL, &options);
  const struct fleet_usage *use = fleet_read_usage (fleet);
  double first = wait_owned (fleet, options.partitions);
  uint32_t moved;
  uint64_t lost;
  double seconds;

  fleet_run (fleet, SETTLE_US);
  open_at_all_hosts (fleet);
  lost = fleet_partitions_lost (fleet);
  for (uint32_t i = 0; i < crashed; i++)
    fleet_kill (fleet, i * (CUT_HOSTS / crashed));
  moved = CUT_PARTITIONS - fleet_partitions_owned (fleet);
  fleet_reset_usage (fleet);
  seconds = wait_owned (fleet, options.partitions);
  printf ("cut.%-12s %2u of %d owners: %u partitions of %d in %.1f s, "
          "%.0f reads/s, %.0f writes/s, peak %llu/s, %.3g bytes read, "
          "%.1f ms of processor a host and second, %llu lost by living "
          "hosts; start took %.1f s\n",
          name, crashed, CUT_HOSTS, moved, CUT_PARTITIONS, seconds,
          (double)use->reads / seconds, (double)use->writes / seconds,
          (unsigned long long)use->peak, (double)use->bytes_read,
          (double)cpu_ns (use) / SECOND_US / seconds / CUT_HOSTS,
          (unsigned long long)(fleet_partitions_lost (fleet) - lost), first);
  fflush (stdout);
  talloc_free (fleet);
}

void
capacity_run_cuts (void)
{
  measure_crash ("host", 1);
  measure_crash ("data centre", 4);
  measure_crash ("region", 13);
}
