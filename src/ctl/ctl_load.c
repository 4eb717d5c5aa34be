/* ctl_load.c - command of mimosactl for routing hosts: load.

   Sums the metrics of all routers: how full the services and the table are,
   which organisations ask for most, which workers are left out by how many
   hosts, and which requests end workers.
   Needs: ctl_run.h, id.h, idmap.h, memory.h, jansson.  */

#include "core/id.h"
#include "core/idmap.h"
#include "core/memory.h"
#include "ctl_run.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "mimosa_router_"
/* Rows of a table in the output.  */
#define ROWS_MAX 20U
/* Load of a service with all slots in use, or of the table at its rate.  */
#define LOAD_FULL 1000U
/* Key of the map; there is one table.  */
#define SERIES 0U

/**
 * struct series - a metric with its labels, over all routers
 * @name: name without prefix
 * @labels: its labels with braces; "" if it has none
 * @sum: sum of the values
 * @max: the highest
 * @hosts: number of routers that report it
 */
struct series
{
  char *name;
  char *labels;
  uint64_t sum;
  uint64_t max;
  uint32_t hosts;
};

/**
 * struct survey - what the routers report
 * @series: struct series by name and labels
 * @reached: routers that answered
 */
struct survey
{
  struct mq_idmap *series;
  size_t reached;
};

static struct series *
get_series (struct survey *survey, const char *key, size_t name_len)
{
  struct mq_id id = mq_id_from_text (key);
  struct series *series = mq_idmap_find (survey->series, id, SERIES);

  if (series != NULL)
    return series;
  series = mq_check_alloc (talloc_zero (survey->series, struct series));
  series->name = talloc_strndup (series, key, name_len);
  series->labels = talloc_strdup (series, key + name_len);
  mq_idmap_put (survey->series, id, SERIES, series);
  return series;
}

/* LINE: "mimosa_router_NAME{LABELS} VALUE".  Other lines are ignored.  */
static void
add_line (struct survey *survey, char *line)
{
  char *space = strrchr (line, ' ');
  const char *key = line + strlen (METRIC_PREFIX);
  struct series *series;
  uint64_t value;

  if (strncmp (line, METRIC_PREFIX, strlen (METRIC_PREFIX)) != 0
      || space == NULL)
    return;
  *space = '\0';
  value = strtoull (space + 1, NULL, 10);
  series = get_series (survey, key, strcspn (key, "{"));
  series->sum += value;
  series->max = value > series->max ? value : series->max;
  series->hosts++;
}

static void
add_router (struct survey *survey, const struct mq_ctl_fetch *fetch)
{
  char *position = NULL;

  if (fetch->error != MQ_ERR_NONE || fetch->status != 200
      || fetch->body == NULL)
    return;
  survey->reached++;
  for (char *line = strtok_r (fetch->body, "\n", &position); line != NULL;
       line = strtok_r (NULL, "\n", &position))
    add_line (survey, line);
}

static int
compare_sums (const void *a, const void *b)
{
  const struct series *const *x = a;
  const struct series *const *y = b;

  if ((*x)->sum != (*y)->sum)
    return (*x)->sum < (*y)->sum ? 1 : -1;
  return strcmp ((*x)->labels, (*y)->labels);
}

/* Returns the series of NAME, highest sum first, and their number.  */
static struct series **
sorted (TALLOC_CTX *ctx, const struct survey *survey, const char *name,
        size_t *count)
{
  struct series **list = mq_check_alloc (talloc_array (
      ctx, struct series *, mq_idmap_count (survey->series) + 1));
  size_t position = 0;
  struct series *series;

  *count = 0;
  while ((series = mq_idmap_next (survey->series, &position)) != NULL)
    if (strcmp (series->name, name) == 0)
      list[(*count)++] = series;
  qsort (list, *count, sizeof (struct series *), compare_sums);
  if (*count > ROWS_MAX)
    *count = ROWS_MAX;
  return list;
}

/* Series of NAME with the labels of SERIES; one of zeros if none is
   reported.  */
static const struct series *
sibling (const struct survey *survey, const struct series *series,
         const char *name)
{
  static const struct series none;
  char *key = talloc_asprintf (NULL, "%s%s", name, series->labels);
  const struct series *found
      = mq_idmap_find (survey->series, mq_id_from_text (key), SERIES);

  talloc_free (key);
  return found == NULL ? &none : found;
}

static uint64_t
mean_of (const struct series *series)
{
  return series->hosts == 0 ? 0 : series->sum / series->hosts;
}

/* What keeps programs from beginning now: the fullest service, or the
   table.  */
static char *
binding (TALLOC_CTX *ctx, const struct survey *survey)
{
  static const char *const names[] = { "service_pressure", "record_load" };
  const struct series *most = NULL;

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      size_t count;
      struct series **list = sorted (ctx, survey, names[i], &count);

      for (size_t k = 0; k < count; k++)
        if (most == NULL || mean_of (list[k]) > mean_of (most))
          most = list[k];
    }
  if (most == NULL || mean_of (most) < LOAD_FULL)
    return talloc_strdup (ctx, "nothing");
  if (strcmp (most->name, "record_load") == 0)
    return talloc_strdup (ctx, "the platform's table");
  return talloc_asprintf (ctx, "service %s", most->labels);
}

/**
 * struct column - a value in the output
 * @metric: its name
 * @mean: the mean over the routers in place of the sum
 */
struct column
{
  const char *heading;
  const char *metric;
  bool mean;
};

/**
 * struct table - rows of the output, one for each label set of a metric
 * @columns: the first one's metric gives the rows
 */
struct table
{
  const char *name;
  struct column columns[4];
};

static const struct table tables[] = {
  { "services",
    { { "load", "service_load", true },
      { "pressure", "service_pressure", true },
      { "workers", "service_workers", true },
      { "ejected", "service_ejected", true } } },
  { "organisations",
    { { "demand", "organisation_demand", false },
      { "refused", "organisation_refused", false } } },
  { "workers left out", { { "hosts", "worker_ejected", false } } },
  { "requests that end workers",
    { { "ends", "work_ends", true },
      { "open", "work_open_ends", true },
      { "age s", "work_end_age_seconds", true },
      { "rejected", "work_rejected", false } } },
};

#define COLUMNS_MAX 4U

static uint64_t
value_of (const struct survey *survey, const struct series *row,
          const struct column *column)
{
  const struct series *series = sibling (survey, row, column->metric);

  return column->mean ? mean_of (series) : series->sum;
}

static void
print_table (const struct mq_ctl_run *run, const struct survey *survey,
             const struct table *table)
{
  size_t count;
  struct series **rows
      = sorted (run->ctx, survey, table->columns[0].metric, &count);

  if (count == 0)
    return;
  fprintf (run->out, "%-50s", table->name);
  for (size_t i = 0; i < COLUMNS_MAX && table->columns[i].metric != NULL; i++)
    fprintf (run->out, " %9s", table->columns[i].heading);
  fputs ("\n", run->out);
  for (size_t k = 0; k < count; k++)
    {
      fprintf (run->out, "  %-48s", rows[k]->labels);
      for (size_t i = 0; i < COLUMNS_MAX && table->columns[i].metric != NULL;
           i++)
        fprintf (run->out, " %9llu",
                 (unsigned long long)value_of (survey, rows[k],
                                               &table->columns[i]));
      fputs ("\n", run->out);
    }
}

static void
print_text (const struct mq_ctl_run *run, const struct survey *survey,
            size_t count)
{
  fprintf (run->out, "routers: %zu of %zu\nbinds: %s\n", survey->reached,
           count, binding (run->ctx, survey));
  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    print_table (run, survey, &tables[i]);
}

static json_t *
table_json (const struct mq_ctl_run *run, const struct survey *survey,
            const struct table *table)
{
  size_t count;
  struct series **rows
      = sorted (run->ctx, survey, table->columns[0].metric, &count);
  json_t *list = json_array ();

  for (size_t k = 0; k < count; k++)
    {
      json_t *object = json_pack ("{ss}", "labels", rows[k]->labels);

      for (size_t i = 0; i < COLUMNS_MAX && table->columns[i].metric != NULL;
           i++)
        json_object_set_new (object, table->columns[i].heading,
                             json_integer ((json_int_t)value_of (
                                 survey, rows[k], &table->columns[i])));
      json_array_append_new (list, object);
    }
  return list;
}

static void
print_json (const struct mq_ctl_run *run, const struct survey *survey,
            size_t count)
{
  json_t *object = json_pack ("{sI sI ss}", "routers", (json_int_t)count,
                              "reached", (json_int_t)survey->reached, "binds",
                              binding (run->ctx, survey));

  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    json_object_set_new (object, tables[i].name,
                         table_json (run, survey, &tables[i]));
  fputs (mq_ctl_json_line (run->ctx, object), run->out);
}

enum mq_ctl_exit
mq_ctl_load (const struct mq_ctl_run *run, const char *addresses)
{
  static const char *const path = "/metrics";
  struct survey survey = { .reached = 0 };
  size_t count;
  enum mq_ctl_exit code;
  struct mq_ctl_fetch *fetches
      = mq_ctl_fetch_routers (run, addresses, &path, 1, &count, &code);

  if (fetches == NULL)
    return code;
  survey.series = mq_check_alloc (mq_idmap_create (run->ctx));
  for (size_t i = 0; i < count; i++)
    add_router (&survey, &fetches[i]);
  if (run->json)
    print_json (run, &survey, count);
  else
    print_text (run, &survey, count);
  return survey.reached == count ? MQ_CTL_OK : MQ_CTL_FAILED;
}
