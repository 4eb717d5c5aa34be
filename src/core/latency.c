/* latency.c - per-service program latency at an entry host.

   Needs: latency.h, limits.h.  */

#include "latency.h"
#include "limits.h"
#include <stdlib.h>
#include <string.h>

struct mq_latency
{
  struct mq_latency_series *series[MQ_LATENCY_SERIES_MAX];
  size_t count;
};

struct mq_latency *
mq_latency_create (TALLOC_CTX *ctx)
{
  struct mq_latency *latency = talloc_zero (ctx, struct mq_latency);

  if (latency == NULL)
    abort ();
  return latency;
}

static struct mq_latency_series *
look_up (const struct mq_latency *latency, const char *service, bool follow_up)
{
  for (size_t i = 0; i < latency->count; i++)
    if (latency->series[i]->follow_up == follow_up
        && strcmp (latency->series[i]->service, service) == 0)
      return latency->series[i];
  return NULL;
}

static struct mq_latency_series *
add_series (struct mq_latency *latency, const char *service, bool follow_up)
{
  struct mq_latency_series *series
      = talloc_zero (latency, struct mq_latency_series);

  if (series == NULL)
    abort ();
  series->service = talloc_strdup (series, service);
  if (series->service == NULL)
    abort ();
  series->follow_up = follow_up;
  latency->series[latency->count++] = series;
  return series;
}

/* Two entries are reserved for the series with the empty name.  */
struct mq_latency_series *
mq_latency_find (struct mq_latency *latency, const char *service,
                 bool follow_up)
{
  struct mq_latency_series *series = look_up (latency, service, follow_up);

  if (series != NULL)
    return series;
  if (*service != '\0' && latency->count + 2 >= MQ_LATENCY_SERIES_MAX)
    return mq_latency_find (latency, "", follow_up);
  return add_series (latency, service, follow_up);
}

size_t
mq_latency_count (const struct mq_latency *latency)
{
  return latency->count;
}

const struct mq_latency_series *
mq_latency_at (const struct mq_latency *latency, size_t index)
{
  return latency->series[index];
}
