/* capacity.h - measures how a cost grows with a size.

   A series contains repeated measurements at several sizes.  It prints the
   median and range at each size, and a linear fit of the medians with its
   largest relative residual.
   Needs: types.h of the core (talloc).  */

#ifndef CAPACITY_H
#define CAPACITY_H

#include "core/types.h"

enum
{
  CAPACITY_REPEATS = 3
};

struct capacity_series;

/* Creates a series; UNIT is the unit of the measured values.  */
struct capacity_series *capacity_series_create (TALLOC_CTX *ctx,
                                                const char *name,
                                                const char *size_unit,
                                                const char *unit);
void capacity_series_add (struct capacity_series *series, double size,
                          double value);
/* Prints one line for each size and one for the fit.  */
void capacity_series_print (const struct capacity_series *series);

/* CPU time of this thread in nanoseconds.  */
uint64_t capacity_cpu_ns (void);

/* Calls of malloc, calloc and realloc, and bytes requested.  */
struct capacity_heap
{
  uint64_t calls;
  uint64_t bytes;
};
extern struct capacity_heap capacity_heap;

/* Returns capacity_heap.calls.  */
uint64_t capacity_allocations (void);

/* Bytes allocated in the hierarchy of CTX, allocator headers included.  */
uint64_t capacity_memory (TALLOC_CTX *ctx);

/* Experiments, in capacity_*.c.  */
void capacity_run_place (void);
void capacity_run_fleet (void);
void capacity_run_text (void);
void capacity_run_config (void);
void capacity_run_gate (void);
void capacity_run_spread (void);
void capacity_run_owner (void);
void capacity_run_hosts (void);
void capacity_run_takeover (void);
void capacity_run_cuts (void);

#endif
