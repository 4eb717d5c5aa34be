/* fleet.h - the workers that are known, their load, and which one is next.

   What the registry says is a hint; what this host saw itself (refused
   connections, failures, load told by answers) goes before it.  A worker is
   named by a handle into a table; a handle is never used for another worker
   while someone holds it.  Pure: time and randomness are given.
   Needs: types.h, id.h.  */

#ifndef MQ_FLEET_H
#define MQ_FLEET_H

#include "../types.h"

struct mq_fleet;

#define MQ_WORKER_NONE UINT32_MAX

/* A worker whose figures are older than this counts as idle but for our own
   requests.  */
#define MQ_FLEET_LOAD_TTL_MS 1000U
/* Failures in a row after which a worker gets no requests for a while.  One
   alone is common (a lost answer); two by chance are rare.  */
#define MQ_FLEET_CONSECUTIVE_FAILURES_MAX 2U
/* Share of failures, in thousandths, at which a worker gets no requests for a
   while though it serves others: each request counts an eighth, so that three
   failures of eight reach it and one in twenty does not.  */
#define MQ_FLEET_EJECT_FAILURE_RATE 300U
#define MQ_FLEET_FAILURE_RATE_WEIGHT 8U
/* What a worker that comes back starts with: one more failure leaves it out
   again, for longer.  */
#define MQ_FLEET_RETURN_FAILURE_RATE 230U
/* A worker below this counts as sound, and its next pause is the first one. */
#define MQ_FLEET_HEALTHY_FAILURE_RATE 100U
/* First pause of a worker that fails, doubled each time up to the most.  The
   first is about the time a crashed worker takes to be back.  */
#define MQ_FLEET_EJECT_MS 1000U
#define MQ_FLEET_EJECT_MAX_MS 8000U
/* Share of a service's workers, in percent, that may be out for failures at
   the same time: more than that is no longer the workers' fault.  */
#define MQ_FLEET_EJECT_MAX_PERCENT 50U
/* Requests above the mean of its service that a worker may have before a
   program is sent away from the worker that has its cache, so that its history
   is not read again.  */
#define MQ_FLEET_AFFINITY_EXCESS_MAX 30U
/* Requests that a worker may have above the mean of its service, in percent of
   its slots, before it counts as full for a request with a key, once the mean
   alone fills the slots.

   The load: a burst fills the slots of all engines.  A request that then goes
   to whichever engine has the fewest takes its program's history there; it is
   read again, the engines' memory holds each history several times, the
   reading slows all of them down, and the slots stay full long after the
   burst.  Moving gains nothing while all wait alike.  With more than this a
   worker that is loaded beyond the others is kept too long.  */
#define MQ_FLEET_AFFINITY_QUEUE_PERCENT 50U

/**
 * struct mq_fleet_member - what the registry says of one worker
 * @id: names the worker; a later start may bear it again
 * @service: which one it serves
 * @address: "IP:PORT"
 * @data_centre: where it stands
 * @slots: requests that it runs side by side
 * @leaving: takes no new work
 * @born_ms: its start by its own clock, Unix milliseconds; 0: not told
 */
struct mq_fleet_member
{
  const char *id;
  const char *service;
  const char *address;
  const char *data_centre;
  uint32_t slots;
  bool leaving;
  uint64_t born_ms;
};

/* How a request to a worker ended, for the choice of the next ones.  */
enum mq_fleet_outcome
{
  MQ_OUTCOME_SUCCEEDED,   /* a whole answer */
  MQ_OUTCOME_FULL,        /* refused for want of room */
  MQ_OUTCOME_FAILED,      /* broke off, was damaged or answered an error */
  MQ_OUTCOME_UNREACHABLE, /* no connection, or closed before any byte */
  MQ_OUTCOME_LEAVING,     /* refused since it is leaving or is another one */
  MQ_OUTCOME_CANCELLED    /* ended by us or the caller: says nothing */
};

/* Load of a worker whose slots are all taken, with nothing waiting.  */
#define MQ_FLEET_LOAD_FULL 1000U
/* Part of the objective, in percent, after which answers of such workers
   begin: what is left is for the spread around the mean.  */
#define MQ_FLEET_DELAY_FULL_PERCENT 60U

/**
 * struct mq_fleet_query - what a request needs
 * @service: workers of this one
 * @data_centre: of this host, preferred among equals
 * @key: requests with the same key go to the same worker where there is room
 * @has_key: false: the least loaded worker
 * @home: worker that has the cache of the request's program, as
 * mq_fleet_choose_home named it; goes before @key; 0: none
 * @tried: workers that this request has been sent to
 * @tried_count: how many
 * @now_ms: steady clock
 * @random: any number
 */
struct mq_fleet_query
{
  const char *service;
  const char *data_centre;
  uint64_t key;
  bool has_key;
  uint64_t home;
  const uint32_t *tried;
  size_t tried_count;
  uint64_t now_ms;
  uint64_t random;
};

struct mq_fleet *mq_fleet_create (TALLOC_CTX *ctx);
void mq_fleet_destroy (struct mq_fleet *fleet);

/* Adds or changes a worker; false when memory is out.  *CHANGED tells whether
   anything that matters is new; may be NULL.

   Failure: a worker starts again under its id; requests go to its former
   address and service, connections of the former start are used again, and
   failures of the former start are held against it.  So a later start is
   another worker under another handle.  What an earlier start, or one that
   tells no start beside one that does, said is older and changes nothing.  */
bool mq_fleet_put (struct mq_fleet *fleet,
                   const struct mq_fleet_member *member, bool *changed);
/* The worker has left the registry: no new requests from UNTIL_MS on, 0: at
   once, unless it is put again before.  Its handle stays until the last
   request has ended.  False when it was not known.  */
bool mq_fleet_remove (struct mq_fleet *fleet, const char *id,
                      uint64_t until_ms);
/* Between begin and end of a full list: workers that were not put since
   begin are removed by end, as by mq_fleet_remove.  */
void mq_fleet_list_begin (struct mq_fleet *fleet);
void mq_fleet_list_end (struct mq_fleet *fleet, uint64_t until_ms);
/* Ends the workers whose time has come.  */
void mq_fleet_expire (struct mq_fleet *fleet, uint64_t now_ms);

/* Start of the worker that is listed under ID, 0: not told or not known.  */
uint64_t mq_fleet_start_time_ms (const struct mq_fleet *fleet, const char *id);
/* All that are listed, below CTX; their strings live as long as they are
   listed.  NULL when memory is out.  */
struct mq_fleet_member *mq_fleet_list (const struct mq_fleet *fleet,
                                       TALLOC_CTX *ctx, size_t *count);
/* The same number for the same workers, in whatever order they are; another
   one, but for one case in 2^64, when any of them differs in anything.  */
uint64_t mq_fleet_digest (const struct mq_fleet_member *list, size_t count);
/* Handle of the worker to send to, MQ_WORKER_NONE when there is none.  */
uint32_t mq_fleet_choose (struct mq_fleet *fleet,
                          const struct mq_fleet_query *query);
/**
 * mq_fleet_choose_home - where a program that begins is to stay
 * @fleet: the fleet
 * @query: what it needs; its key is not looked at
 *
 * The worker with the least load, as far as answers told this host lately.
 * Each answer comes to one host, so that hosts which begin programs at the
 * same time choose different workers; all turns of the program follow it, at
 * whichever host they arrive.
 *
 * Return: a name for the worker that is the same at all hosts, 0: there is
 * none.
 */
uint64_t mq_fleet_choose_home (const struct mq_fleet *fleet,
                               const struct mq_fleet_query *query);
/* Load of SERVICE's workers as answers told lately, what waits included, in
   thousandths of their slots; 0: not known.  */
uint32_t mq_fleet_service_load (const struct mq_fleet *fleet,
                                const char *service, uint64_t now_ms);
/* The same, but no more than how late answers begin: a load that makes nobody
   wait too long is not too much.  MQ_FLEET_LOAD_FULL where they begin after
   MQ_FLEET_DELAY_FULL_PERCENT of their objective.  */
uint32_t mq_fleet_service_pressure (const struct mq_fleet *fleet,
                                    const char *service, uint64_t now_ms);
/* An answer of WORKER began after WAIT_MS, where its route's objective is
   OBJECTIVE_MS.  */
void mq_fleet_record_delay (struct mq_fleet *fleet, uint32_t worker,
                            uint32_t wait_ms, uint32_t objective_ms,
                            uint64_t now_ms);
/* Values live as long as the handle is held or the worker is listed.  */
const struct mq_fleet_member *mq_fleet_member (const struct mq_fleet *fleet,
                                               uint32_t worker);
/* Number that differs between two workers which had the same handle one after
   the other.  */
uint64_t mq_fleet_instance_digest (const struct mq_fleet *fleet,
                                   uint32_t worker);
/* It may be sent to: listed, not leaving.  */
bool mq_fleet_is_available (const struct mq_fleet *fleet, uint32_t worker);
/* As far as is known, requests wait at WORKER for a slot.  */
bool mq_fleet_has_queue (const struct mq_fleet *fleet, uint32_t worker,
                         uint64_t now_ms);
/* A request begins and ends at WORKER; each start is followed by one end.  */
void mq_fleet_request_started (struct mq_fleet *fleet, uint32_t worker);
void mq_fleet_request_ended (struct mq_fleet *fleet, uint32_t worker,
                             enum mq_fleet_outcome outcome, uint64_t now_ms);
/* Bytes came from WORKER, for whatever request.  */
void mq_fleet_record_activity (struct mq_fleet *fleet, uint32_t worker,
                               uint64_t now_ms);
/* When bytes last came from WORKER, 0: never.  */
uint64_t mq_fleet_last_activity_ms (const struct mq_fleet *fleet,
                                    uint32_t worker);
/* What an answer told of the worker's load.  */
void mq_fleet_record_load (struct mq_fleet *fleet, uint32_t worker,
                           uint32_t running, uint32_t waiting,
                           uint64_t now_ms);
/* Workers of SERVICE that may be sent to.  */
size_t mq_fleet_count (const struct mq_fleet *fleet, const char *service);
/* Pause after which a worker of SERVICE may have room, for a refusal.  */
uint32_t mq_fleet_retry_ms (const struct mq_fleet *fleet, const char *service);

#endif
