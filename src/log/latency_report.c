/* latency_report.c - program latencies as Prometheus text and as JSON.

   Needs: latency_report.h, metrics.h.  */

#include "latency_report.h"
#include "metrics.h"
#include <stdlib.h>

enum
{
  US_PER_MS = 1000
};

/* Buckets from 1 ms to 72 min.  */
static const struct mq_metrics_family family
    = { .name = "mimosa_program_latency_seconds",
        .help = "Request to final event, of programs whose caller waited here",
        .per_second = 1e6,
        .first_bit = 10,
        .last_bit = 32 };

static void
append (char **text, char *longer)
{
  if (longer == NULL)
    abort ();
  *text = longer;
}

static char *
make_labels (TALLOC_CTX *ctx, const struct mq_latency_series *series)
{
  char *labels = talloc_asprintf (ctx, "service=\"%s\",follow_up=\"%s\"",
                                  series->service,
                                  series->follow_up ? "true" : "false");

  if (labels == NULL)
    abort ();
  return labels;
}

static void
add_histogram (char **text, const struct mq_latency_series *series)
{
  char *labels = make_labels (*text, series);

  mq_metrics_series (text, &family, labels, &series->answered);
  talloc_free (labels);
}

static void
add_ended (char **text, const struct mq_latency_series *series,
           const char *how, uint64_t count)
{
  char *labels = make_labels (*text, series);

  append (text, talloc_asprintf_append_buffer (
                    *text, "mimosa_programs_unanswered{%s,how=\"%s\"} %llu\n",
                    labels, how, (unsigned long long)count));
  talloc_free (labels);
}

void
mq_latency_metrics (char **text, const struct mq_latency *latency)
{
  size_t count = mq_latency_count (latency);

  mq_metrics_begin (text, &family);
  for (size_t i = 0; i < count; i++)
    add_histogram (text, mq_latency_at (latency, i));
  append (text,
          talloc_strdup_append_buffer (
              *text, "# HELP mimosa_programs_unanswered Programs whose caller "
                     "waited here and got no answer\n"
                     "# TYPE mimosa_programs_unanswered gauge\n"));
  for (size_t i = 0; i < count; i++)
    {
      const struct mq_latency_series *series = mq_latency_at (latency, i);

      add_ended (text, series, "failed", series->failed);
      add_ended (text, series, "refused", series->refused);
      add_ended (text, series, "gone", series->gone);
    }
}

static json_t *
quantile_ms (const struct mq_latency_series *series, uint32_t permille)
{
  uint64_t us = mq_histogram_quantile (&series->answered, permille);

  return json_integer ((json_int_t)((us + US_PER_MS / 2) / US_PER_MS));
}

json_t *
mq_latency_json (const struct mq_latency *latency)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < mq_latency_count (latency); i++)
    {
      const struct mq_latency_series *series = mq_latency_at (latency, i);

      json_array_append_new (
          list,
          json_pack (
              "{ss sb sI so so so sI sI sI}", "service", series->service,
              "follow_up", (int)series->follow_up, "count",
              (json_int_t)series->answered.count, "p50_ms",
              quantile_ms (series, 500), "p95_ms", quantile_ms (series, 950),
              "p99_ms", quantile_ms (series, 990), "failed",
              (json_int_t)series->failed, "refused",
              (json_int_t)series->refused, "gone", (json_int_t)series->gone));
    }
  return list;
}
