/* matrix_jobs.h - runs cells of the fault matrix in parallel.

   Needs: world.h.  */

#ifndef MQ_TEST_MATRIX_JOBS_H
#define MQ_TEST_MATRIX_JOBS_H

#include "world.h"

/**
 * struct matrix_job - a cell and the result of its run
 * @report: valid unless @crashed
 * @crashed: the process crashed during the run
 */
struct matrix_job
{
  struct world_cell cell;
  struct world_report report;
  bool crashed;
};

/* Runs all JOBS in child processes.  */
void matrix_run (struct matrix_job *jobs, size_t count);

enum
{
  MATRIX_CELL_TEXT = 160
};

/* Convert between a cell and the value of MATRIX_CELL.  */
void matrix_cell_format (const struct world_cell *cell,
                         char text[MATRIX_CELL_TEXT]);
bool matrix_cell_parse (const char *text, struct world_cell *cell);

#endif
