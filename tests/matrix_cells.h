/* matrix_cells.h - cells of the fault matrix and of its planted bugs.

   Needs: world.h.  */

#ifndef MQ_TEST_MATRIX_CELLS_H
#define MQ_TEST_MATRIX_CELLS_H

#include "world.h"

enum
{
  MATRIX_PAIRS = 3000,       /* random pairs of faults */
  MATRIX_BASELINE_SEEDS = 4, /* fault-free runs of each script */
  MATRIX_OCCURRENCES = 6,    /* occurrences of a step to inject at */
  MATRIX_SEEDS = 2,          /* seeds for each step, fault and occurrence */
  MATRIX_PLANT_SEEDS = 16,   /* maximum seeds of a planted bug */
  MATRIX_SINGLES = MATRIX_OCCURRENCES * MATRIX_SEEDS,
  MATRIX_GAP_MAX = 60 /* maximum steps between the faults of a pair */
};

/**
 * struct matrix_plant - a planted bug and the invariant that must detect it
 * @invariant: invariant that must be violated
 * @cell: cell to run with the bug
 * @seeds: number of seeds to run; more than 1 if detection depends on the
 *         order of events
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

/* Minimum occurrences of each step in a fault-free run.  */
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
