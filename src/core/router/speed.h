/* speed.h - how long work takes at a worker, compared with its service.

   Workers share their machines with others and differ in hardware.  Some tell
   how long work takes on their machine; of all, this host knows the times of
   its own requests.  Both are kept apart as what holds now and what holds in
   the long run.

   Guards against loading workers alike that are not equally fast.
   Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_SPEED_H
#define MQ_SPEED_H

#include "../types.h"

/* Factor of a worker that is as fast as usual.  */
#define MQ_SPEED_USUAL 1000U
/* Valid figures that workers tell, in percent of the usual time.  */
#define MQ_SPEED_TOLD_MIN 1U
#define MQ_SPEED_TOLD_MAX 10000U
/* Routes of a service whose times are compared; others are ignored.  */
#define MQ_SPEED_ROUTES 8U
/* Classes of load in which they are compared.  */
#define MQ_SPEED_LOADS 6U
/* Time that a program runs at its worker, and a single request.  */
#define MQ_SPEED_PROGRAM_MS 3000U
#define MQ_SPEED_REQUEST_MS 200U

/**
 * struct mq_speed_mean - moving average
 * @count: samples in @value, up to a limit
 */
struct mq_speed_mean
{
  float value;
  float count;
};

/**
 * struct mq_speed - what is known of one worker, empty if all zero
 * @told: last figure told, as a factor; 0 if none
 * @usual: long-term mean of what it told
 * @told_ms: time of the last figure
 * @recent: logarithm of recent times, as a part of what was expected
 * @lasting: the same over many requests
 * @measured_ms: time of the last measurement
 */
struct mq_speed
{
  float told;
  struct mq_speed_mean usual;
  struct mq_speed_mean recent;
  struct mq_speed_mean lasting;
  uint64_t told_ms;
  uint64_t measured_ms;
};

/**
 * struct mq_speed_route - time that requests of one route take
 * @route: hash of its name, 0 if unused
 * @times: logarithm of the time by load of the worker: up to a sixteenth of
 *         its slots, an eighth, a quarter, half, all, and more
 */
struct mq_speed_route
{
  uint64_t route;
  struct mq_speed_mean times[MQ_SPEED_LOADS];
};

/**
 * struct mq_speed_service - what is known of the workers of one service
 * @told: mean logarithm of what its workers tell
 * @typical: that as a factor
 * @variance: of measured times at the same worker, as logarithms
 */
struct mq_speed_service
{
  struct mq_speed_mean told;
  float typical;
  struct mq_speed_mean variance;
  struct mq_speed_route routes[MQ_SPEED_ROUTES];
};

/**
 * struct mq_speed_sample - one complete request
 * @route: hash of the route's name
 * @time_us: time that it took; of a turn, time per token
 * @load: load that the worker reported, thousandths of its slots
 */
struct mq_speed_sample
{
  uint64_t route;
  uint64_t time_us;
  uint32_t load;
};

/* Records the figure that a worker told, in percent.  Others than
   MQ_SPEED_TOLD_MIN to MQ_SPEED_TOLD_MAX are ignored.  */
void mq_speed_record_told (struct mq_speed *speed,
                           struct mq_speed_service *service, uint32_t percent,
                           uint64_t now_ms);
void mq_speed_record_time (struct mq_speed *speed,
                           struct mq_speed_service *service,
                           const struct mq_speed_sample *sample,
                           uint64_t now_ms);
/**
 * mq_speed_factor - time that work will take, as a part of the usual time
 * @speed: the worker
 * @service: its service
 * @duration_ms: time that the work takes
 *
 * What was told last and what was measured counts for work that ends soon,
 * what was told in the long run for other work.  Of a worker of which little
 * is known the mean of its service is returned.
 *
 * Return: thousandths, at least 1.
 */
uint32_t mq_speed_factor (const struct mq_speed *speed,
                          const struct mq_speed_service *service,
                          uint32_t duration_ms, uint64_t now_ms);
/**
 * mq_speed_cost - predicted time of a request
 * @load: load of the worker per slot
 * @full: @load with all slots in use
 * @slowdown: time that a full worker adds, as a multiple of an idle one's
 * @factor: from mq_speed_factor
 *
 * Return: a time in a unit in which it is (@load + constant) x factor: workers
 * of equal speed are ordered by load.
 */
uint64_t mq_speed_cost (uint64_t load, uint64_t full, uint32_t slowdown,
                        uint32_t factor);

/**
 * mq_speed_shared_cost - rank of a worker for a program
 *
 * As mq_speed_cost, but (@load + constant x factor): a faster worker gets some
 * programs more than others, however high the load.  The histories that it
 * keeps need as much memory as at a slow one, so that it cannot hold many
 * more.
 */
uint64_t mq_speed_shared_cost (uint64_t load, uint64_t full, uint32_t slowdown,
                               uint32_t factor);
/**
 * mq_speed_usual_load - load at which a worker is as good as others
 * @mean: mean load per slot of the service's workers
 *
 * Return: the load per slot at which mq_speed_cost of a worker with FACTOR is
 * that of a worker of mean speed and load; 0 if it is worse even without
 * load.  @mean for a worker of mean speed.
 */
uint64_t mq_speed_usual_load (const struct mq_speed_service *service,
                              uint64_t mean, uint64_t full, uint32_t slowdown,
                              uint32_t factor);

#endif
