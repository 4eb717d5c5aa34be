/* matrix_cells.h - the tables of the fault matrix.

   Needs: world.h.  */

#ifndef MQ_TEST_MATRIX_CELLS_H
#define MQ_TEST_MATRIX_CELLS_H

#include "world.h"

enum
{
  MATRIX_PAIRS = 3000,       /* pairs of faults, drawn by seed */
  MATRIX_BASELINE_SEEDS = 4, /* runs of each script without a fault */
  MATRIX_OCCURRENCES = 6,    /* of a step that each fault is injected at */
  MATRIX_SEEDS = 2,          /* runs of each step, fault and occurrence */
  MATRIX_PLANT_SEEDS = 16,   /* at most */
  MATRIX_SINGLES = MATRIX_OCCURRENCES * MATRIX_SEEDS,
  MATRIX_GAP_MAX = 60 /* steps between the two faults of a pair */
};

/**
 * struct matrix_plant - a bug planted in the world, and who must notice it
 * @plant: the bug
 * @invariant: what it must break
 * @cell: where it is planted
 * @seeds: how many worlds it is planted in: several for a bug whose harm
 *         depends on the order of events
 */
struct matrix_plant
{
  enum world_plant plant;
  enum world_invariant invariant;
  struct world_cell cell;
  uint32_t seeds;
};

extern const struct matrix_plant matrix_plants[];
extern const size_t matrix_plant_count;

/* Steps by how often each occurs in a run without a fault.  */
struct matrix_counts
{
  uint32_t steps[STEP_COUNT];
};

struct world_cell matrix_baseline_cell (enum world_script script,
                                        uint32_t index);
struct world_cell
matrix_single_fault_cell (enum world_step step, enum world_fault fault,
                          uint32_t index, const struct matrix_counts *counts);
struct world_cell matrix_fault_pair_cell (uint32_t index,
                                          const struct matrix_counts *counts);

#endif
