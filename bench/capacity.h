/* capacity.h - measured slopes: what a thing costs as a number grows.

   A series holds repeated measures at several sizes.  It prints the median
   and range at each size and a straight line through the medians with its
   largest residual, so that a page can say slope times number and how far
   to trust it.
   Needs: types.h of the core (talloc).  */

#ifndef CAPACITY_H
#define CAPACITY_H

#include "core/types.h"

enum
{
  CAPACITY_REPEATS = 3
};

struct capacity_series;

/* NAME of the slope, unit of the size, unit of what is measured.  */
struct capacity_series *capacity_series_create (TALLOC_CTX *ctx,
                                                const char *name,
                                                const char *size_unit,
                                                const char *unit);
void capacity_series_add (struct capacity_series *series, double size,
                          double value);
/* Prints a line for each size, and one for the fit.  */
void capacity_series_print (const struct capacity_series *series);

/* Processor time of this thread in nanoseconds.  */
uint64_t capacity_cpu_ns (void);

/* Calls of malloc and its kin, and bytes asked for, since the start.  */
struct capacity_heap
{
  uint64_t calls;
  uint64_t bytes;
};
extern struct capacity_heap capacity_heap;

/* The same calls as a counter.  */
uint64_t capacity_allocations (void);

/* Bytes that hang below CTX, talloc's and malloc's headers included.  */
uint64_t capacity_memory (TALLOC_CTX *ctx);

/* The experiments, each in a file of its own.  */
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
