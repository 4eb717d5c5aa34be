/* capacity.c - series of measurements and their linear fit.

   Needs: capacity.h.  */

#include "capacity.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  SIZES_MAX = 12,
  VALUES_MAX = 9,
  NS_PER_S = 1000000000,
  BLOCK_OVERHEAD = 112 /* headers of talloc and malloc, bytes */
};

struct capacity_heap capacity_heap;

struct point
{
  double size;
  double values[VALUES_MAX];
  int count;
};

struct capacity_series
{
  const char *name;
  const char *size_unit;
  const char *unit;
  struct point points[SIZES_MAX];
  int count;
};

struct line
{
  double base;
  double slope;
  double residual; /* largest relative error of a median */
};

struct capacity_series *
capacity_series_create (TALLOC_CTX *ctx, const char *name,
                        const char *size_unit, const char *unit)
{
  struct capacity_series *series = talloc_zero (ctx, struct capacity_series);

  if (series == NULL)
    abort ();
  series->name = name;
  series->size_unit = size_unit;
  series->unit = unit;
  return series;
}

static struct point *
find_point (struct capacity_series *series, double size)
{
  for (int i = 0; i < series->count; i++)
    if (series->points[i].size == size)
      return &series->points[i];
  if (series->count == SIZES_MAX)
    abort ();
  series->points[series->count].size = size;
  return &series->points[series->count++];
}

void
capacity_series_add (struct capacity_series *series, double size, double value)
{
  struct point *point = find_point (series, size);

  if (point->count == VALUES_MAX)
    abort ();
  point->values[point->count++] = value;
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Copies the values of POINT in order to SORTED; returns their median.  */
static double
sort_values (const struct point *point, double sorted[VALUES_MAX])
{
  for (int i = 0; i < point->count; i++)
    sorted[i] = point->values[i];
  qsort (sorted, (size_t)point->count, sizeof sorted[0], compare);
  return sorted[point->count / 2];
}

/* Least-squares fit of the medians, weighted by the inverse square of the
   median, which minimises the relative error.  */
static struct line
fit (const struct capacity_series *series)
{
  double sums[5] = { 0 };
  double sorted[VALUES_MAX];
  struct line line = { 0 };
  double divisor;

  for (int i = 0; i < series->count; i++)
    {
      double x = series->points[i].size;
      double y = sort_values (&series->points[i], sorted);
      double weight = y == 0 ? 1 : 1 / (y * y);

      sums[0] += weight;
      sums[1] += weight * x;
      sums[2] += weight * y;
      sums[3] += weight * x * x;
      sums[4] += weight * x * y;
    }
  divisor = sums[0] * sums[3] - sums[1] * sums[1];
  if (divisor != 0)
    line.slope = (sums[0] * sums[4] - sums[1] * sums[2]) / divisor;
  line.base = (sums[2] - line.slope * sums[1]) / sums[0];
  for (int i = 0; i < series->count; i++)
    {
      double y = sort_values (&series->points[i], sorted);
      double error
          = fabs (line.base + line.slope * series->points[i].size - y);

      if (y != 0 && error / y > line.residual)
        line.residual = error / y;
    }
  return line;
}

void
capacity_series_print (const struct capacity_series *series)
{
  struct line line = fit (series);
  double sorted[VALUES_MAX];

  for (int i = 0; i < series->count; i++)
    {
      double median = sort_values (&series->points[i], sorted);

      printf ("%-34s %8.0f %-14s %12.4g %-22s range %.4g..%.4g\n",
              series->name, series->points[i].size, series->size_unit, median,
              series->unit, sorted[0], sorted[series->points[i].count - 1]);
    }
  if (series->count > 1)
    printf ("%-34s fit: %.4g + %.4g x %s, largest residual %.0f%%\n",
            series->name, line.base, line.slope, series->size_unit,
            100 * line.residual);
  fflush (stdout);
}

uint64_t
capacity_cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

uint64_t
capacity_allocations (void)
{
  return capacity_heap.calls;
}

uint64_t
capacity_memory (TALLOC_CTX *ctx)
{
  return talloc_total_size (ctx) + BLOCK_OVERHEAD * talloc_total_blocks (ctx);
}
