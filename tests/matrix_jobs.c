/* matrix_jobs.c - runs cells of the fault matrix in parallel.

   Each child process runs every N-th cell and writes the reports to its own
   pipe.  If a child crashes, the next cell without a report is marked as
   crashed, and a new child continues with the cell after that.
   Needs: matrix_jobs.h, POSIX.  */

#include "matrix_jobs.h"
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  CHILDREN = 4
};

struct child
{
  pid_t process;
  int pipe;
  size_t next; /* index of the next cell to report */
};

static void
write_all (int fd, const void *data, size_t len)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t written = write (fd, at, len);

      if (written <= 0)
        _exit (1);
      at += written;
      len -= (size_t)written;
    }
}

static bool
read_all (int fd, void *data, size_t len)
{
  char *at = data;

  while (len > 0)
    {
      ssize_t got = read (fd, at, len);

      if (got <= 0)
        return false;
      at += got;
      len -= (size_t)got;
    }
  return true;
}

static void
run_child (const struct matrix_job *jobs, size_t count, size_t first, int fd)
{
  struct world_report report;

  for (size_t i = first; i < count; i += CHILDREN)
    {
      world_run (&jobs[i].cell, false, &report);
      write_all (fd, &report, sizeof report);
    }
  _exit (0);
}

static void
start_child (struct child *child, const struct matrix_job *jobs, size_t count)
{
  int ends[2];

  child->pipe = -1;
  if (child->next >= count)
    return;
  if (pipe (ends) != 0)
    abort ();
  fflush (NULL);
  child->process = fork ();
  if (child->process < 0)
    abort ();
  if (child->process == 0)
    {
      close (ends[0]);
      run_child (jobs, count, child->next, ends[1]);
    }
  close (ends[1]);
  child->pipe = ends[0];
}

/* Reads a report.  At end of file, restarts the child if cells remain.  */
static void
read_report (struct child *child, struct matrix_job *jobs, size_t count)
{
  struct matrix_job *job = &jobs[child->next];

  if (child->next < count
      && read_all (child->pipe, &job->report, sizeof job->report))
    {
      child->next += CHILDREN;
      return;
    }
  close (child->pipe);
  waitpid (child->process, NULL, 0);
  if (child->next < count)
    {
      job->crashed = true;
      child->next += CHILDREN;
    }
  start_child (child, jobs, count);
}

void
matrix_run (struct matrix_job *jobs, size_t count)
{
  struct child children[CHILDREN];
  struct pollfd polls[CHILDREN];
  bool any = true;

  for (size_t i = 0; i < CHILDREN; i++)
    {
      children[i].next = i;
      start_child (&children[i], jobs, count);
    }
  while (any)
    {
      any = false;
      for (size_t i = 0; i < CHILDREN; i++)
        {
          polls[i].fd = children[i].pipe;
          polls[i].events = POLLIN;
          polls[i].revents = 0;
          any = any || children[i].pipe >= 0;
        }
      if (!any || poll (polls, CHILDREN, -1) <= 0)
        continue;
      for (size_t i = 0; i < CHILDREN; i++)
        if (children[i].pipe >= 0 && polls[i].revents != 0)
          read_report (&children[i], jobs, count);
    }
}

/* Text form of cells.  */

void
matrix_cell_format (const struct world_cell *cell, char text[MATRIX_CELL_TEXT])
{
  snprintf (text, MATRIX_CELL_TEXT, "%s:%u:%s:%s:%u:%llu:%d",
            world_step_name (cell->step), cell->nth,
            world_fault_name (cell->fault), world_fault_name (cell->second),
            cell->gap, (unsigned long long)cell->seed, (int)cell->plant);
}

static bool
find_fault (const char *name, enum world_fault *fault)
{
  for (int i = 0; i < FAULT_COUNT; i++)
    if (strcmp (world_fault_name ((enum world_fault)i), name) == 0)
      {
        *fault = (enum world_fault)i;
        return true;
      }
  return false;
}

static bool
find_step (const char *name, enum world_step *step)
{
  for (int i = 0; i < STEP_COUNT; i++)
    if (strcmp (world_step_name ((enum world_step)i), name) == 0)
      {
        *step = (enum world_step)i;
        return true;
      }
  return false;
}

bool
matrix_cell_parse (const char *text, struct world_cell *cell)
{
  char step[32];
  char fault[32];
  char second[32];
  unsigned long long seed = 0;
  int plant = 0;

  memset (cell, 0, sizeof *cell);
  if (sscanf (text, "%31[^:]:%u:%31[^:]:%31[^:]:%u:%llu:%d", step, &cell->nth,
              fault, second, &cell->gap, &seed, &plant)
      != 7)
    return false;
  cell->seed = seed;
  cell->plant = (enum world_plant)plant;
  return find_step (step, &cell->step) && find_fault (fault, &cell->fault)
         && find_fault (second, &cell->second) && plant >= 0
         && plant < PLANT_COUNT;
}
