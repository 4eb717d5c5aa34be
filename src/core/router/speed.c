/* speed.c - how long work takes at a worker, compared with its service.

   Needs: speed.h, libm.  */

#include "speed.h"
#include <math.h>

/* A figure told counts for work that ends within this time, and linearly less
   the older it is.  */
#define TOLD_NOW_MS 1000U
/* Part of a longer work to which it applies.  */
#define TOLD_LASTS_MS 500U
/* Time over which the long-term mean of what is told is taken.  */
#define USUAL_MS 10000U
/* Time after which a worker of which nothing was heard counts as the mean of
   its service.  */
#define FORGET_TOLD_MS 30000U
#define FORGET_RECENT_MS 2000U
#define FORGET_LASTING_MS 60000U
/* Limits of the counts of moving averages.  */
#define SERVICE_SAMPLES 256.0F
#define ROUTE_SAMPLES 64.0F
#define RECENT_SAMPLES 3.0F
#define LASTING_SAMPLES 16.0F
/* Requests of a route without which its times are not compared.  */
#define ROUTE_SAMPLES_MIN 16.0F
/* A difference counts by what it exceeds this many standard errors: smaller
   ones are chance.  */
#define CHANCE 2.5F
/* Largest difference of one request, as a logarithm: a factor of 8.  */
#define DIFFERENCE_MAX 2.08F
/* Longest work for which measured times count.  Engines run their requests at
   once, and the load that a turn meets changes while it runs: times differ
   more by that than by the speed of the engine.  */
#define MEASURED_MAX_MS 1000U
/* Load up to which the first class of loads reaches, thousandths of the slots;
   twice that for each further one.  */
#define LOAD_FIRST 63U
/* A worker counts as at most so much faster than is typical of its service.

   Failure: one that tells a false figure gets the requests of all hosts.  */
#define FASTER_MAX 4.0F
#define PERCENT 100.0F

static void
add_sample (struct mq_speed_mean *mean, float value, float limit)
{
  if (mean->count < limit)
    mean->count += 1.0F;
  mean->value += (value - mean->value) / mean->count;
}

/* Part, 1 to 0, of something that is forgotten linearly.  */
static float
remaining (uint64_t since_ms, uint64_t now_ms, uint32_t forget_ms)
{
  uint64_t age = now_ms - since_ms;

  return since_ms == 0 || age >= forget_ms
             ? 0.0F
             : 1.0F - (float)age / (float)forget_ms;
}

/* What workers tell */

/* Figures that follow each other closely tell the same.  */
static void
learn_usual (struct mq_speed *speed, float told, uint64_t now_ms)
{
  float passed = (float)(now_ms - speed->told_ms) / (float)USUAL_MS;
  float weight;

  if (speed->told_ms == 0 || passed > 1.0F)
    passed = 1.0F;
  if (speed->usual.count < SERVICE_SAMPLES)
    speed->usual.count += 1.0F;
  weight = 1.0F / speed->usual.count;
  if (weight < passed)
    weight = passed;
  speed->usual.value += (told - speed->usual.value) * weight;
}

void
mq_speed_record_told (struct mq_speed *speed, struct mq_speed_service *service,
                      uint32_t percent, uint64_t now_ms)
{
  float told = (float)percent / PERCENT;

  if (percent < MQ_SPEED_TOLD_MIN || percent > MQ_SPEED_TOLD_MAX)
    return;
  learn_usual (speed, told, now_ms);
  add_sample (&service->told, logf (told), SERVICE_SAMPLES);
  service->typical = expf (service->told.value);
  speed->told = told;
  speed->told_ms = now_ms;
}

static float
told_factor (const struct mq_speed *speed,
             const struct mq_speed_service *service, uint32_t duration_ms,
             uint64_t now_ms)
{
  float mean = service->typical;
  float fastest = service->typical / FASTER_MAX;
  float known = remaining (speed->told_ms, now_ms, FORGET_TOLD_MS);
  float now = remaining (speed->told_ms, now_ms, TOLD_NOW_MS);

  if (service->told.count == 0.0F)
    return 1.0F;
  if (speed->told_ms == 0)
    return mean;
  known *= speed->usual.count / (speed->usual.count + 1.0F);
  mean += (speed->usual.value - mean) * known;
  if (duration_ms > TOLD_LASTS_MS)
    now *= (float)TOLD_LASTS_MS / (float)duration_ms;
  mean += (speed->told - mean) * now;
  return mean > fastest ? mean : fastest;
}

/* What this host measures */

static struct mq_speed_route *
get_route (struct mq_speed_service *service, uint64_t route)
{
  for (uint32_t i = 0; i < MQ_SPEED_ROUTES; i++)
    {
      struct mq_speed_route *row = &service->routes[i];

      if (row->route == 0)
        row->route = route;
      if (row->route == route)
        return row;
    }
  return NULL;
}

static struct mq_speed_mean *
get_times (struct mq_speed_route *row, uint32_t load)
{
  uint32_t i = 0;

  for (uint32_t bound = LOAD_FIRST; load > bound && i + 1 < MQ_SPEED_LOADS;
       bound *= 2)
    i++;
  return &row->times[i];
}

/* Learns how much times at the same worker differ from their mean.  */
static void
learn_variance (struct mq_speed_service *service,
                const struct mq_speed_mean *mean, float difference)
{
  float away = difference - mean->value;

  if (mean->count > 0.0F)
    add_sample (&service->variance,
                away * away * mean->count / (mean->count + 1.0F),
                SERVICE_SAMPLES);
}

/* Returns what DIFFERENCE, the mean of COUNT samples, exceeds chance by.  Few
   samples count less.  */
static float
beyond_chance (float difference, float count, float deviation)
{
  float chance;

  if (count <= 0.0F)
    return 0.0F;
  chance = CHANCE * deviation / sqrtf (count);
  if (difference > chance)
    difference -= chance;
  else if (difference < -chance)
    difference += chance;
  else
    return 0.0F;
  return difference * count / (count + 1.0F);
}

static float
measured_factor (const struct mq_speed *speed,
                 const struct mq_speed_service *service, uint64_t now_ms)
{
  float known = remaining (speed->measured_ms, now_ms, FORGET_LASTING_MS);
  float fresh = remaining (speed->measured_ms, now_ms, FORGET_RECENT_MS);
  float deviation;
  float lasting;
  float recent = 0.0F;

  if (known == 0.0F)
    return 1.0F;
  deviation = sqrtf (service->variance.value);
  lasting = beyond_chance (speed->lasting.value, speed->lasting.count * known,
                           deviation);
  /* What a worker tells is newer than what was measured.  */
  if (service->told.count == 0.0F)
    recent = beyond_chance (speed->recent.value - lasting,
                            speed->recent.count * fresh, deviation);
  return lasting + recent == 0.0F ? 1.0F : expf (lasting + recent);
}

/* What a worker tells explains its times, and is left out.  */
void
mq_speed_record_time (struct mq_speed *speed, struct mq_speed_service *service,
                      const struct mq_speed_sample *sample, uint64_t now_ms)
{
  struct mq_speed_route *row = get_route (service, sample->route);
  float told = told_factor (speed, service, 0, now_ms);
  struct mq_speed_mean *times;
  float difference;

  if (row == NULL || sample->time_us == 0)
    return;
  times = get_times (row, sample->load);
  difference = logf ((float)sample->time_us / told);
  add_sample (times, difference, ROUTE_SAMPLES);
  difference -= times->value;
  if (times->count < ROUTE_SAMPLES_MIN)
    return;
  if (difference > DIFFERENCE_MAX)
    difference = DIFFERENCE_MAX;
  if (difference < -DIFFERENCE_MAX)
    difference = -DIFFERENCE_MAX;
  if (remaining (speed->measured_ms, now_ms, FORGET_RECENT_MS) == 0.0F)
    speed->recent = (struct mq_speed_mean){ 0.0F, 0.0F };
  if (remaining (speed->measured_ms, now_ms, FORGET_LASTING_MS) == 0.0F)
    speed->lasting = (struct mq_speed_mean){ 0.0F, 0.0F };
  learn_variance (service, &speed->recent, difference);
  add_sample (&speed->recent, difference, RECENT_SAMPLES);
  add_sample (&speed->lasting, difference, LASTING_SAMPLES);
  speed->measured_ms = now_ms;
}

uint32_t
mq_speed_factor (const struct mq_speed *speed,
                 const struct mq_speed_service *service, uint32_t duration_ms,
                 uint64_t now_ms)
{
  float factor = told_factor (speed, service, duration_ms, now_ms);
  uint32_t thousandths;

  if (duration_ms <= MEASURED_MAX_MS)
    factor *= measured_factor (speed, service, now_ms);
  thousandths = (uint32_t)(factor * (float)MQ_SPEED_USUAL + 0.5F);

  return thousandths > 0 ? thousandths : 1;
}

uint64_t
mq_speed_cost (uint64_t load, uint64_t full, uint32_t slowdown,
               uint32_t factor)
{
  return (load + full / slowdown) * factor / MQ_SPEED_USUAL;
}

uint64_t
mq_speed_shared_cost (uint64_t load, uint64_t full, uint32_t slowdown,
                      uint32_t factor)
{
  return load + full / slowdown * factor / MQ_SPEED_USUAL;
}

uint64_t
mq_speed_usual_load (const struct mq_speed_service *service, uint64_t mean,
                     uint64_t full, uint32_t slowdown, uint32_t factor)
{
  uint64_t idle = full / slowdown;
  uint64_t even = (uint64_t)MQ_SPEED_USUAL;
  uint64_t load;

  if (service->told.count > 0.0F)
    even = (uint64_t)((float)MQ_SPEED_USUAL * service->typical + 0.5F);
  load = (mean + idle) * even / factor;
  return load > idle ? load - idle : 0;
}
