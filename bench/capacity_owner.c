/* capacity_owner.c - cost of a partition owner by programs, history,
   targets and partitions.

   Needs: capacity.h, tests/fleet.h.  */

#include "../tests/fleet.h"
#include "capacity.h"
#include <stdio.h>

enum
{
  TOKENS_OF_AN_ANSWER = 24,
  OPENS_PER_MS = 10,
  TURNS = 500,
  TURN_US = 2000,
  OWN_US = 60000000, /* time to take over all partitions */
  SETTLE_US = 3000000,
  MS = 1000,
  DISCONNECTS = 20
};

/* One owner with open programs that wait for a turn.  */
struct shape
{
  uint32_t programs;
  uint32_t history; /* tokens */
  uint32_t targets;
  uint32_t partitions;
  uint32_t store_ms; /* table latency; 0 for the default of 2 */
};

/**
 * struct result - mean CPU time and memory over TURNS turns
 * @open_us: opening a program, until it is part of a commit
 * @turn_us: all inputs of a turn, lease renewals and ticks excluded
 * @token_us: input with a token
 * @outcome_us: input with the outcome of a call
 * @store_us: result of the table
 * @list_us: host list
 * @load_us: load report of a target
 * @gone_us: disconnect of a caller
 */
struct result
{
  double open_us;
  double turn_us;
  double token_us;
  double outcome_us;
  double store_us;
  double tick_us;
  double list_us;
  double load_us;
  double gone_us;
  double token_allocations;
  double turn_allocations;
  double memory;
  double call_bytes;
  double turns_a_commit;
  double written_a_turn;
};

static double
mean_us (const struct fleet_cost *cost)
{
  return cost->count == 0 ? 0 : (double)cost->ns / (double)cost->count / MS;
}

static void
open_all (struct fleet *fleet, const struct shape *shape)
{
  for (uint32_t i = 1; i <= shape->programs; i++)
    {
      fleet_open (fleet, 0, i, shape->history, false);
      if (i % OPENS_PER_MS == 0)
        fleet_run (fleet, MS);
    }
  fleet_run (fleet, SETTLE_US);
}

static void
run_turns (struct fleet *fleet, const struct shape *shape)
{
  for (uint32_t i = 0; i < TURNS; i++)
    {
      fleet_turn (fleet, 0, 1 + i * 7919ULL % shape->programs, i);
      fleet_run (fleet, TURN_US);
    }
  fleet_run (fleet, SETTLE_US);
}

static void
run_other_inputs (struct fleet *fleet, const struct shape *shape)
{
  for (uint32_t i = 0; i < DISCONNECTS; i++)
    {
      fleet_send_host_list (fleet, 0);
      fleet_load (fleet, 0, i % shape->targets);
      fleet_caller_gone (fleet, 0, 1);
    }
}

static void
read_turn_costs (const struct fleet_usage *use, struct result *result)
{
  const struct fleet_cost *cost = use->cost;
  uint64_t ns = cost[FLEET_REQUEST].ns + cost[FLEET_TOKEN].ns
                + cost[FLEET_OUTCOME].ns + cost[FLEET_STORE].ns;
  uint64_t allocations
      = cost[FLEET_REQUEST].allocations + cost[FLEET_TOKEN].allocations
        + cost[FLEET_OUTCOME].allocations + cost[FLEET_STORE].allocations;

  result->turn_us = (double)ns / TURNS / MS;
  result->turn_allocations = (double)allocations / TURNS;
  result->token_us = mean_us (&cost[FLEET_TOKEN]);
  result->token_allocations = (double)cost[FLEET_TOKEN].allocations
                              / (double)cost[FLEET_TOKEN].count;
  result->outcome_us = mean_us (&cost[FLEET_OUTCOME]);
  result->store_us = mean_us (&cost[FLEET_STORE]);
  result->tick_us = mean_us (&cost[FLEET_TICK]);
  result->call_bytes
      = (double)use->sent_bytes[MQ_MSG_CALL] / (double)use->sent[MQ_MSG_CALL];
  result->written_a_turn = (double)use->bytes_written / TURNS;
}

static void
check_turns (uint64_t turns)
{
  if (turns != TURNS)
    printf ("owner: %llu of %d turns were answered: figures are void\n",
            (unsigned long long)turns, TURNS);
}

static struct result
measure (const struct shape *shape)
{
  struct fleet_options options = { .hosts = 1,
                                   .clock_ns = capacity_cpu_ns,
                                   .allocations = capacity_allocations };
  struct result result;
  struct fleet *fleet;
  const struct mq_owner_counters *counters;
  uint64_t before;
  uint64_t commits;
  uint64_t done;

  options.targets = shape->targets;
  options.partitions = shape->partitions;
  options.store_us = (uint64_t)shape->store_ms * MS;
  options.answer_tokens = TOKENS_OF_AN_ANSWER;
  fleet = fleet_create (NULL, &options);
  fleet_run (fleet, OWN_US);
  before = capacity_memory (fleet_owner (fleet, 0));
  fleet_reset_usage (fleet);
  open_all (fleet, shape);
  result.open_us = mean_us (&fleet_read_usage (fleet)->cost[FLEET_REQUEST]);
  result.memory = (double)(capacity_memory (fleet_owner (fleet, 0)) - before)
                  / shape->programs;
  counters = mq_owner_read_counters (fleet_owner (fleet, 0));
  commits = counters->commits;
  done = counters->calls_done;
  fleet_reset_usage (fleet);
  run_turns (fleet, shape);
  check_turns (counters->calls_done - done);
  result.turns_a_commit = TURNS / (double)(counters->commits - commits);
  read_turn_costs (fleet_read_usage (fleet), &result);
  fleet_reset_usage (fleet);
  run_other_inputs (fleet, shape);
  result.list_us = mean_us (&fleet_read_usage (fleet)->cost[FLEET_HOSTS]);
  result.load_us = mean_us (&fleet_read_usage (fleet)->cost[FLEET_LOAD]);
  result.gone_us
      = mean_us (&fleet_read_usage (fleet)->cost[FLEET_CALLER_GONE]);
  talloc_free (fleet);
  return result;
}

#define COLUMNS(X)                                                            \
  X (open_us, "us an open")                                                   \
  X (turn_us, "us a turn of 24 tokens")                                       \
  X (token_us, "us a token")                                                  \
  X (outcome_us, "us an outcome")                                             \
  X (store_us, "us a store result")                                           \
  X (tick_us, "us a tick")                                                    \
  X (list_us, "us a host list")                                               \
  X (load_us, "us a LOAD")                                                    \
  X (gone_us, "us a caller gone")                                             \
  X (token_allocations, "allocations a token")                                \
  X (turn_allocations, "allocations a turn")                                  \
  X (memory, "bytes a program")                                               \
  X (call_bytes, "bytes a CALL")                                              \
  X (turns_a_commit, "turns a commit")                                        \
  X (written_a_turn, "bytes written a turn")

/* Varies GROWN, a field of SHAPE, and prints a series for each column.  */
static void
run_series (const char *name, const char *size_unit, struct shape *shape,
            uint32_t *varied, const uint32_t *sizes, size_t count)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
#define CREATE(column, unit)                                                  \
  struct capacity_series *column = capacity_series_create (                   \
      ctx, talloc_asprintf (ctx, "owner.%s." #column, name), size_unit,       \
      unit);
  COLUMNS (CREATE)
#undef CREATE

  for (size_t i = 0; i < count; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        struct result result;

        *varied = sizes[i];
        result = measure (shape);
#define ADD(column, unit)                                                     \
  capacity_series_add (column, sizes[i], result.column);
        COLUMNS (ADD)
#undef ADD
      }
#define PRINT(column, unit) capacity_series_print (column);
  COLUMNS (PRINT)
#undef PRINT
  talloc_free (ctx);
}

static const struct shape base_shape
    = { .programs = 500, .history = 1000, .targets = 12, .partitions = 24 };

void
capacity_run_owner (void)
{
  static const uint32_t programs[] = { 1000, 10000, 50000 };
  static const uint32_t histories[] = { 1000, 10000, 40000, 120000 };
  static const uint32_t targets[] = { 12, 120, 500, 6000 };
  static const uint32_t store_ms[] = { 2, 20, 130 };
  static const uint32_t partitions[] = { 16, 100, 1000 };
  struct shape shape = base_shape;

  run_series ("programs", "programs", &shape, &shape.programs, programs, 3);
  shape = base_shape;
  shape.programs = 100;
  run_series ("history", "tokens", &shape, &shape.history, histories, 4);
  shape = base_shape;
  run_series ("targets", "targets", &shape, &shape.targets, targets, 4);
  shape = base_shape;
  shape = base_shape;
  run_series ("store", "ms of the table", &shape, &shape.store_ms, store_ms,
              3);
  shape = base_shape;
  run_series ("partitions", "partitions", &shape, &shape.partitions,
              partitions, 3);
}
