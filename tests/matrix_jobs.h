/* matrix_jobs.h - runs many cells of the fault matrix side by side.

   Needs: world.h.  */

#ifndef MQ_TEST_MATRIX_JOBS_H
#define MQ_TEST_MATRIX_JOBS_H

#include "world.h"

/**
 * struct matrix_job - one cell and what its run showed
 * @cell: the cell
 * @report: valid unless @crashed
 * @crashed: the run ended its process
 */
struct matrix_job
{
  struct world_cell cell;
  struct world_report report;
  bool crashed;
};

/* Runs all JOBS in a few child processes.  */
void matrix_run (struct matrix_job *jobs, size_t count);

enum
{
  MATRIX_CELL_TEXT = 160
};

/* A cell as MATRIX_CELL takes it, and back.  */
void matrix_cell_format (const struct world_cell *cell,
                         char text[MATRIX_CELL_TEXT]);
bool matrix_cell_parse (const char *text, struct world_cell *cell);

#endif
