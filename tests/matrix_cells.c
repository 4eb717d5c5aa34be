/* matrix_cells.c - cells of the fault matrix and of its planted bugs.

   Needs: matrix_cells.h.  */

#include "matrix_cells.h"
#include "core/id.h"

enum
{
  BASE_SEED = 1000,
  SINGLE_SEED = 100000,
  PAIR_SEED = 500000
};

#define AT(step_, nth_, fault_, seed_)                                        \
  {                                                                           \
    .step = STEP_##step_, .nth = (nth_), .fault = FAULT_##fault_,             \
    .seed = (seed_)                                                           \
  }

const struct matrix_plant matrix_plants[] = {
  { PLANT_ANSWER_BEFORE_RUN, INVARIANT_ORDER, AT (OPEN, 0, NONE, 11), 1 },
  { PLANT_START_DUPLICATED, INVARIANT_ONCE, AT (OPEN, 0, NONE, 12), 1 },
  { PLANT_CAP_IGNORED, INVARIANT_BUDGET, AT (OPEN, 0, NONE, 13), 1 },
  { PLANT_HISTORY_MIXED, INVARIANT_HISTORY, AT (OPEN, 0, NONE, 14), 1 },
  { PLANT_HISTORY_CUT, INVARIANT_HISTORY, AT (OPEN, 0, NONE, 15), 1 },
  { PLANT_FINAL_DOUBLED, INVARIANT_ONE_ANSWER, AT (OPEN, 0, NONE, 16), 1 },
  { PLANT_ANSWER_SWAPPED, INVARIANT_OWN_ANSWER, AT (OPEN, 0, NONE, 17), 1 },
  { PLANT_COMMIT_DROPPED, INVARIANT_LOGGED_ANSWER, AT (OPEN, 0, NONE, 18), 1 },
  { PLANT_TOKEN_DOUBLED, INVARIANT_STREAM, AT (OPEN, 0, NONE, 19), 1 },
  { PLANT_REFUSED_AND_RUN, INVARIANT_NOT_RUN, AT (OPEN, 0, NONE, 20), 1 },
  { PLANT_FINAL_DROPPED, INVARIANT_ENDS, AT (OPEN, 0, NONE, 21), 1 },
  { PLANT_EVICT_SKIPPED, INVARIANT_CACHE, AT (OPEN, 0, NONE, 22), 1 },
  { PLANT_LEAVE_DROPPED, INVARIANT_LEAVING, AT (DRAIN_TARGET, 0, NONE, 23),
    1 },
  { PLANT_STOP_TERMINATES, INVARIANT_PLANNED_STOP,
    AT (DRAIN_TARGET, 0, NONE, 24), 1 },
  { PLANT_CONFIG_REVERTED, INVARIANT_CONFIG_MONOTONIC, AT (OPEN, 0, NONE, 25),
    1 },
  { PLANT_CONFIG_UNREACHABLE, INVARIANT_CONFIG_EQUAL, AT (OPEN, 0, NONE, 26),
    1 },
  { PLANT_APPLY_REVERTED, INVARIANT_APPLY_DURABLE, AT (OPEN, 0, NONE, 27), 1 },
  { PLANT_CONDITION_IGNORED, INVARIANT_LOGGED_ANSWER,
    AT (GRANT, 2, OWNER_PAUSED, 26), MATRIX_PLANT_SEEDS },
  { PLANT_ECHO, INVARIANT_BECOMES_IDLE, AT (OPEN, 0, NONE, 29), 1 },
  { PLANT_CHECKPOINT_CUT, INVARIANT_REPLAY_EQUAL, AT (SNAPSHOT, 0, NONE, 30),
    1 },
  { PLANT_REMOVAL_SKIPPED, INVARIANT_STORED, AT (SNAPSHOT, 0, NONE, 31), 1 },
  { PLANT_EVICT_DELAYED, INVARIANT_EVICTED, AT (OPEN, 0, NONE, 32), 1 },
  { PLANT_CLAIM_REFUSED, INVARIANT_TAKEN_OVER, AT (FENCE, 0, NONE, 34), 1 },
  { PLANT_COMMIT_DROPPED, INVARIANT_TOLD, AT (OPEN, 0, NONE, 18), 1 },
  { PLANT_COMMIT_DROPPED, INVARIANT_INTENT_COMMITTED, AT (OPEN, 0, NONE, 18),
    1 },
  { PLANT_CONDITION_IGNORED, INVARIANT_FENCE, AT (GRANT, 2, OWNER_PAUSED, 28),
    MATRIX_PLANT_SEEDS },
  { PLANT_URGENT_REFUSED, INVARIANT_OUTAGE, AT (OUTAGE, 0, NONE, 35), 1 },
  { PLANT_RENEWALS_REFUSED, INVARIANT_NO_LIVE_TAKEOVER,
    AT (OUTAGE, 0, NONE, 36), 1 },
  { PLANT_MEMORY_LEAKED, INVARIANT_MEMORY, AT (OPEN, 0, NONE, 37), 1 },
  { PLANT_READS_REPEATED, INVARIANT_LOAD, AT (COMMIT, 4, CENTRE_DIES, 38), 1 },
};

const size_t matrix_plant_count
    = sizeof matrix_plants / sizeof matrix_plants[0];

/* A fault-free cell names any step of SCRIPT to select the script.  */
struct world_cell
matrix_baseline_cell (enum world_script script, uint32_t index)
{
  struct world_cell cell = { .seed = BASE_SEED + index };

  while (world_step_script (cell.step) != script)
    cell.step++;
  return cell;
}

static uint32_t
draw_nth (uint64_t *random, const struct matrix_counts *counts,
          enum world_step step)
{
  uint32_t count = counts->steps[step];

  return 1 + mq_random_below (random, count == 0 ? 1 : count);
}

/* Spreads the injections evenly from the first to the last occurrence of a
   step.  A step with fewer occurrences gets more seeds for each.  */
static uint32_t
spread_nth (uint32_t index, uint32_t count)
{
  uint32_t place = index % MATRIX_OCCURRENCES;

  if (count <= MATRIX_OCCURRENCES)
    return 1 + (count == 0 ? 0 : place % count);
  return 1 + place * (count - 1) / (MATRIX_OCCURRENCES - 1);
}

struct world_cell
matrix_single_fault_cell (enum world_step step, enum world_fault fault,
                          uint32_t index, const struct matrix_counts *counts)
{
  struct world_cell cell = { .step = step, .fault = fault };

  cell.seed
      = SINGLE_SEED + (uint64_t)step * 1000 + (uint64_t)fault * 20 + index;
  cell.nth = spread_nth (index, counts->steps[step]);
  return cell;
}

struct world_cell
matrix_fault_pair_cell (uint32_t index, const struct matrix_counts *counts)
{
  struct world_cell cell = { .seed = PAIR_SEED + index };
  uint64_t random = cell.seed;

  cell.step = (enum world_step)mq_random_below (&random, STEP_COUNT);
  cell.fault
      = (enum world_fault) (1 + mq_random_below (&random, FAULT_COUNT - 1));
  cell.second
      = (enum world_fault) (1 + mq_random_below (&random, FAULT_COUNT - 1));
  cell.gap = 1 + mq_random_below (&random, MATRIX_GAP_MAX);
  cell.nth = draw_nth (&random, counts, cell.step);
  return cell;
}
