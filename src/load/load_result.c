/* load_result.c - results of a run of mimosa-load and their formats.

   Needs: load_result.h.  */

#include "load_result.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000.0
#define PERCENT 100.0

uint64_t
mq_load_sum_violations (const struct mq_load_result *result)
{
  uint64_t sum = 0;

  for (int i = MQ_LOAD_CORRECT + 1; i < MQ_LOAD_VIOLATIONS; i++)
    sum += result->violations[i];
  return sum;
}

static double
share (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (double)part / (double)whole;
}

double
mq_load_wasted_share (const struct mq_load_result *result)
{
  return share (result->measures.wasted_token_us,
                result->measures.held_token_us);
}

double
mq_load_recomputed_share (const struct mq_load_result *result)
{
  return share (result->measures.recomputed_tokens,
                result->measures.prompt_tokens);
}

void
mq_load_result_add (struct mq_load_result *to,
                    const struct mq_load_result *from)
{
  to->batch_s = to->batch_s * to->runs + from->batch_s * from->runs;
  to->runs += from->runs;
  to->batch_s /= to->runs;
  to->seconds += from->seconds;
  for (int i = 0; i < MQ_LOAD_CLASSES; i++)
    mq_histogram_merge (&to->latency[i], &from->latency[i]);
  mq_histogram_merge (&to->all, &from->all);
  for (int i = 0; i < MQ_ERR_COUNT; i++)
    {
      to->refused[i] += from->refused[i];
      to->failed[i] += from->failed[i];
    }
  for (int i = 0; i < MQ_LOAD_VIOLATIONS; i++)
    to->violations[i] += from->violations[i];
  to->late += from->late;
  to->resets += from->resets;
  to->cut += from->cut;
  to->batch_letters += from->batch_letters;
#define ADD(name) to->measures.name += from->measures.name;
  MQ_LOAD_MEASURE_LIST (ADD)
#undef ADD
}

/* Text and CSV.  */

static double
quantile_ms (const struct mq_histogram *histogram, uint32_t permille)
{
  return (double)mq_histogram_quantile (histogram, permille) / US_PER_MS;
}

static double
mean_ms (const struct mq_histogram *histogram)
{
  return histogram->count == 0
             ? 0
             : (double)histogram->sum / (double)histogram->count / US_PER_MS;
}

static char *
append_latency (char *text, const char *name,
                const struct mq_histogram *histogram)
{
  if (histogram->count == 0)
    return text;
  return talloc_asprintf_append_buffer (
      text, "  %-12s %7llu %9.0f %9.0f %9.0f %9.0f %9.0f\n", name,
      (unsigned long long)histogram->count, mean_ms (histogram),
      quantile_ms (histogram, 500), quantile_ms (histogram, 950),
      quantile_ms (histogram, 990), (double)histogram->max / US_PER_MS);
}

static char *
append_errors (char *text, const char *how, const uint64_t *counts)
{
  for (int i = 0; i < MQ_ERR_COUNT; i++)
    if (counts[i] > 0)
      text = talloc_asprintf_append_buffer (
          text, "  %s %-20s %7llu\n", how,
          mq_error_name ((enum mq_error_type)i),
          (unsigned long long)counts[i]);
  return text;
}

static char *
append_violations (char *text, const struct mq_load_result *result)
{
  text = talloc_asprintf_append_buffer (
      text, "violations: %llu\n",
      (unsigned long long)mq_load_sum_violations (result));
  for (int i = MQ_LOAD_CORRECT + 1; i < MQ_LOAD_VIOLATIONS; i++)
    if (result->violations[i] > 0)
      text = talloc_asprintf_append_buffer (
          text, "  %-20s %7llu\n",
          mq_load_violation_name ((enum mq_load_violation)i),
          (unsigned long long)result->violations[i]);
  return text;
}

char *
mq_load_result_text (TALLOC_CTX *ctx, const struct mq_load_result *result)
{
  const struct mq_load_measures *m = &result->measures;
  char *text = talloc_asprintf (
      ctx,
      "%s %s: load %.2f (%.2f sessions a second) for %.0f s of model time, "
      "%u run(s), time scale %.2f\n"
      "  %-12s %7s %9s %9s %9s %9s %9s  ms of model time\n",
      result->workload, result->label, result->load, result->per_second,
      result->seconds, result->runs, result->time_scale, "class", "answers",
      "mean", "p50", "p95", "p99", "max");

  text = append_latency (text, "all", &result->all);
  for (int i = 0; i < MQ_LOAD_CLASSES; i++)
    text = append_latency (text, mq_load_class_name ((enum mq_load_class)i),
                           &result->latency[i]);
  text = append_errors (text, "refused", result->refused);
  text = append_errors (text, "failed", result->failed);
  text = talloc_asprintf_append_buffer (
      text,
      "  late %llu, resets %llu, cut streams %llu; batch %llu letters in %.1f "
      "s\n"
      "  wasted cache %.1f%% of held (gates say %.1f%%); prompt tokens %llu, "
      "computed again %.1f%%, computed %.1f%%; generated %llu; "
      "preempted %llu; commits %llu\n",
      (unsigned long long)result->late, (unsigned long long)result->resets,
      (unsigned long long)result->cut,
      (unsigned long long)result->batch_letters, result->batch_s,
      PERCENT * mq_load_wasted_share (result),
      PERCENT * share (m->gate_wasted_token_ms, m->gate_held_token_ms),
      (unsigned long long)m->prompt_tokens,
      PERCENT * mq_load_recomputed_share (result),
      PERCENT * share (m->prefill_tokens, m->engine_prompt_tokens),
      (unsigned long long)m->generated_tokens,
      (unsigned long long)m->preempted, (unsigned long long)m->commits);
  return append_violations (text, result);
}

static char *
append_row (char *text, const struct mq_load_result *result, const char *name,
            const struct mq_histogram *histogram)
{
  return talloc_asprintf_append_buffer (
      text, "%s,%s,%.3f,%s,%llu,%.3f,%.3f,%.3f,%.3f\n", result->workload,
      result->label, result->load, name, (unsigned long long)histogram->count,
      mean_ms (histogram), quantile_ms (histogram, 500),
      quantile_ms (histogram, 950), quantile_ms (histogram, 990));
}

char *
mq_load_result_csv (TALLOC_CTX *ctx, const struct mq_load_result *result)
{
  char *text = talloc_strdup (
      ctx, "workload,label,load,class,answers,mean_ms,p50_ms,p95_ms,p99_ms\n");

  text = append_row (text, result, "all", &result->all);
  for (int i = 0; i < MQ_LOAD_CLASSES; i++)
    text
        = append_row (text, result, mq_load_class_name ((enum mq_load_class)i),
                      &result->latency[i]);
  return text;
}

/* JSON.  */

static json_t *
integer (uint64_t value)
{
  return json_integer ((json_int_t)value);
}

static json_t *
write_histogram (const struct mq_histogram *histogram)
{
  json_t *buckets = json_array ();

  for (uint32_t i = 0; i < MQ_HISTOGRAM_BUCKETS; i++)
    if (histogram->buckets[i] > 0)
      json_array_append_new (
          buckets, json_pack ("[ii]", (int)i, (int)histogram->buckets[i]));
  return json_pack (
      "{s:f, s:f, s:f, s:o, s:o, s:o, s:o}", "p50_ms",
      quantile_ms (histogram, 500), "p95_ms", quantile_ms (histogram, 950),
      "p99_ms", quantile_ms (histogram, 990), "count",
      integer (histogram->count), "sum", integer (histogram->sum), "max",
      integer (histogram->max), "buckets", buckets);
}

static json_t *
write_errors (const uint64_t *counts)
{
  json_t *json = json_object ();

  for (int i = 0; i < MQ_ERR_COUNT; i++)
    if (counts[i] > 0)
      json_object_set_new (json, mq_error_name ((enum mq_error_type)i),
                           integer (counts[i]));
  return json;
}

static json_t *
write_violations (const struct mq_load_result *result)
{
  json_t *json = json_object ();

  for (int i = MQ_LOAD_CORRECT + 1; i < MQ_LOAD_VIOLATIONS; i++)
    json_object_set_new (json,
                         mq_load_violation_name ((enum mq_load_violation)i),
                         integer (result->violations[i]));
  return json;
}

static json_t *
write_measures (const struct mq_load_measures *measures)
{
  json_t *json = json_object ();

#define SET(name) json_object_set_new (json, #name, integer (measures->name));
  MQ_LOAD_MEASURE_LIST (SET)
#undef SET
  return json;
}

static json_t *
write_samples (const struct mq_load_result *result)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < result->sample_count; i++)
    {
      const struct mq_load_sample *sample = &result->samples[i];

      json_array_append_new (json, json_pack ("[foo]", sample->at_s,
                                              integer (sample->used_tokens),
                                              integer (sample->total_tokens)));
    }
  return json;
}

char *
mq_load_result_json (TALLOC_CTX *ctx, const struct mq_load_result *result)
{
  json_t *classes = json_object ();
  json_t *json;
  char *dump;
  char *text;

  for (int i = 0; i < MQ_LOAD_CLASSES; i++)
    json_object_set_new (classes, mq_load_class_name ((enum mq_load_class)i),
                         write_histogram (&result->latency[i]));
  json_object_set_new (classes, "all", write_histogram (&result->all));
  json = json_pack (
      "{s:s, s:s, s:f, s:f, s:f, s:f, s:i, s:o, s:o, s:o, s:o, s:o, s:o, s:o, "
      "s:o, s:f, s:o, s:o}",
      "label", result->label, "workload", result->workload, "load",
      result->load, "per_second", result->per_second, "time_scale",
      result->time_scale, "seconds", result->seconds, "runs",
      (int)result->runs, "latency", classes, "refused",
      write_errors (result->refused), "failed", write_errors (result->failed),
      "violations", write_violations (result), "late", integer (result->late),
      "resets", integer (result->resets), "cut", integer (result->cut),
      "batch_letters", integer (result->batch_letters), "batch_s",
      result->batch_s, "measures", write_measures (&result->measures), "cache",
      write_samples (result));
  dump = json_dumps (json, JSON_COMPACT);
  text = talloc_strdup (ctx, dump == NULL ? "{}" : dump);
  free (dump);
  json_decref (json);
  return text;
}

static uint64_t
read_integer (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value > 0 ? (uint64_t)value : 0;
}

static double
read_real (const json_t *json, const char *key)
{
  return json_number_value (json_object_get (json, key));
}

static void
read_label (const json_t *json, const char *key, char text[MQ_LOAD_LABEL_MAX])
{
  const char *value = json_string_value (json_object_get (json, key));

  snprintf (text, MQ_LOAD_LABEL_MAX, "%s", value == NULL ? "" : value);
}

static void
read_histogram (const json_t *json, struct mq_histogram *histogram)
{
  json_t *buckets = json_object_get (json, "buckets");
  json_t *pair;
  size_t i;

  histogram->count = read_integer (json, "count");
  histogram->sum = read_integer (json, "sum");
  histogram->max = read_integer (json, "max");
  json_array_foreach (buckets, i, pair)
  {
    json_int_t bucket = json_integer_value (json_array_get (pair, 0));

    if (bucket >= 0 && bucket < (json_int_t)MQ_HISTOGRAM_BUCKETS)
      histogram->buckets[bucket]
          = (uint32_t)json_integer_value (json_array_get (pair, 1));
  }
}

static void
read_errors (json_t *json, uint64_t *counts)
{
  const char *name;
  json_t *value;

  json_object_foreach (json, name, value) counts[mq_error_from_name (name)]
      += (uint64_t)json_integer_value (value);
}

static void
read_samples (const json_t *json, struct mq_load_result *result)
{
  json_t *row;
  size_t i;

  json_array_foreach (json, i, row)
  {
    struct mq_load_sample *sample = &result->samples[result->sample_count];

    if (result->sample_count == MQ_LOAD_SAMPLES_MAX)
      break;
    sample->at_s = json_number_value (json_array_get (row, 0));
    sample->used_tokens
        = (uint64_t)json_integer_value (json_array_get (row, 1));
    sample->total_tokens
        = (uint64_t)json_integer_value (json_array_get (row, 2));
    result->sample_count++;
  }
}

static void
read_counts (const json_t *json, struct mq_load_result *result)
{
  const json_t *classes = json_object_get (json, "latency");
  const json_t *violations = json_object_get (json, "violations");
  const json_t *measures = json_object_get (json, "measures");

  for (int i = 0; i < MQ_LOAD_CLASSES; i++)
    read_histogram (
        json_object_get (classes, mq_load_class_name ((enum mq_load_class)i)),
        &result->latency[i]);
  read_histogram (json_object_get (classes, "all"), &result->all);
  read_errors (json_object_get (json, "refused"), result->refused);
  read_errors (json_object_get (json, "failed"), result->failed);
  for (int i = MQ_LOAD_CORRECT + 1; i < MQ_LOAD_VIOLATIONS; i++)
    result->violations[i] = read_integer (
        violations, mq_load_violation_name ((enum mq_load_violation)i));
#define READ(name) result->measures.name = read_integer (measures, #name);
  MQ_LOAD_MEASURE_LIST (READ)
#undef READ
}

struct mq_load_result *
mq_load_result_read (TALLOC_CTX *ctx, const char *text, struct mq_error *error)
{
  json_t *json = json_loads (text, 0, NULL);
  struct mq_load_result *result;

  if (json_object_get (json, "latency") == NULL)
    {
      mq_error_set (error, MQ_ERR_BAD_JSON, "result",
                    "a result of mimosa-load --format json");
      json_decref (json);
      return NULL;
    }
  result = talloc_zero (ctx, struct mq_load_result);
  if (result == NULL)
    abort ();
  read_label (json, "label", result->label);
  read_label (json, "workload", result->workload);
  result->load = read_real (json, "load");
  result->per_second = read_real (json, "per_second");
  result->time_scale = read_real (json, "time_scale");
  result->seconds = read_real (json, "seconds");
  result->runs = (uint32_t)read_integer (json, "runs");
  result->late = read_integer (json, "late");
  result->resets = read_integer (json, "resets");
  result->cut = read_integer (json, "cut");
  result->batch_letters = read_integer (json, "batch_letters");
  result->batch_s = read_real (json, "batch_s");
  read_counts (json, result);
  read_samples (json_object_get (json, "cache"), result);
  json_decref (json);
  return result;
}
