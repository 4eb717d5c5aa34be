/* load_compare.c - compares the results of several runs.

   Quantiles of a label are computed over the answers of all its runs; the
   range is over the values of the single runs.
   Needs: load_compare.h.  */

#include "load_compare.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LABELS_MAX = 32
};

#define US_PER_MS 1000.0

struct group
{
  const char *label;
  struct mq_load_result *sum;
  const struct mq_load_result *const *runs;
  size_t run_count; /* including runs of other labels */
};

struct measure
{
  const char *name;
  double (*read) (const struct mq_load_result *result);
};

static double
quantile (const struct mq_histogram *histogram, uint32_t permille)
{
  return (double)mq_histogram_quantile (histogram, permille) / US_PER_MS;
}

static double
read_p50 (const struct mq_load_result *result)
{
  return quantile (&result->all, 500);
}

static double
read_p95 (const struct mq_load_result *result)
{
  return quantile (&result->all, 950);
}

static double
read_p99 (const struct mq_load_result *result)
{
  return quantile (&result->all, 990);
}

static double
read_follow_up (const struct mq_load_result *result)
{
  return quantile (&result->latency[MQ_LOAD_FOLLOW_UP], 950);
}

static double
read_urgent (const struct mq_load_result *result)
{
  return quantile (&result->latency[MQ_LOAD_URGENT], 950);
}

static double
read_batch (const struct mq_load_result *result)
{
  return result->batch_s;
}

static const struct measure measures[] = {
  { "latency_p50", read_p50 },
  { "latency_p95", read_p95 },
  { "latency_p99", read_p99 },
  { "followup_p95", read_follow_up },
  { "urgent_p95", read_urgent },
  { "wasted_cache", mq_load_wasted_share },
  { "recomputed_share", mq_load_recomputed_share },
  { "batch_seconds", read_batch },
};

#define MEASURES (sizeof measures / sizeof measures[0])

static struct group *
find_group (struct group *groups, size_t count, const char *label)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (groups[i].label, label) == 0)
      return &groups[i];
  return NULL;
}

static size_t
make_groups (TALLOC_CTX *ctx, struct group groups[LABELS_MAX],
             const struct mq_load_result *const *results, size_t count)
{
  size_t group_count = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct group *group
          = find_group (groups, group_count, results[i]->label);

      if (group != NULL)
        {
          mq_load_result_add (group->sum, results[i]);
          continue;
        }
      if (group_count == LABELS_MAX)
        break;
      group = &groups[group_count++];
      group->label = results[i]->label;
      group->runs = results;
      group->run_count = count;
      group->sum = talloc_memdup (ctx, results[i], sizeof *results[i]);
      if (group->sum == NULL)
        abort ();
    }
  return group_count;
}

static char *
append_range (char *text, const struct group *group,
              const struct measure *measure)
{
  double lowest = INFINITY;
  double highest = -INFINITY;

  for (size_t i = 0; i < group->run_count; i++)
    {
      double value;

      if (strcmp (group->runs[i]->label, group->label) != 0)
        continue;
      value = measure->read (group->runs[i]);
      lowest = value < lowest ? value : lowest;
      highest = value > highest ? value : highest;
    }
  return talloc_asprintf_append_buffer (
      text, "  %-17s %-22s %10.4g   runs %.4g to %.4g\n", measure->name,
      group->label, measure->read (group->sum), lowest, highest);
}

static char *
append_ratios (char *text, const struct group *ours, const struct group *other)
{
  for (size_t i = 0; i < MEASURES; i++)
    {
      double own = measures[i].read (ours->sum);
      double value = measures[i].read (other->sum);

      if (own <= 0 && value <= 0)
        continue;
      text = talloc_asprintf_append_buffer (
          text, "bench: %s %s ours=%.4g baseline=%s:%.4g ratio=%.3f\n",
          ours->sum->workload, measures[i].name, own, other->label, value,
          value > 0 ? own / value : INFINITY);
    }
  return text;
}

char *
mq_load_compare (TALLOC_CTX *ctx, const char *ours,
                 const struct mq_load_result *const *results, size_t count)
{
  TALLOC_CTX *memory = talloc_new (ctx);
  struct group groups[LABELS_MAX];
  size_t group_count = make_groups (memory, groups, results, count);
  const struct group *own = find_group (groups, group_count, ours);
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < group_count; i++)
    {
      char *part = mq_load_result_text (memory, groups[i].sum);

      text = talloc_strdup_append_buffer (text, part);
    }
  for (size_t m = 0; m < MEASURES; m++)
    for (size_t i = 0; i < group_count; i++)
      if (measures[m].read (groups[i].sum) > 0)
        text = append_range (text, &groups[i], &measures[m]);
  for (size_t i = 0; i < group_count && own != NULL; i++)
    if (&groups[i] != own)
      text = append_ratios (text, own, &groups[i]);
  talloc_free (memory);
  return text;
}
