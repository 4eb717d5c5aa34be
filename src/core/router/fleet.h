/* fleet.h - known workers, their load and health, and worker selection.

   The host's own observations (refused connections, failures, load reported in
   responses) take precedence over the registry.  Workers are addressed by
   handles; a handle is not reused while a request holds it.  Pure: callers
   pass time and random numbers.
   Needs: types.h, id.h, speed.h.  */

#ifndef MQ_FLEET_H
#define MQ_FLEET_H

#include "../types.h"
#include "speed.h"

struct mq_evidence;
struct mq_fleet;

#define MQ_WORKER_NONE UINT32_MAX

/* Reported load is ignored after this time.  */
#define MQ_FLEET_LOAD_TTL_MS 1000U
/* Consecutive failures after which a worker is ejected.  A single one is
   common (a lost response); two by chance are rare.  */
#define MQ_FLEET_CONSECUTIVE_FAILURES_MAX 2U
/* Failure rate at which a worker is ejected, in thousandths.  The rate is a
   moving average in which each request has a weight of
   1 / MQ_FLEET_FAILURE_RATE_WEIGHT.  */
#define MQ_FLEET_EJECT_FAILURE_RATE 300U
#define MQ_FLEET_FAILURE_RATE_WEIGHT 8U
/* Failure rate of a worker that returns from ejection: one more failure ejects
   it again.  */
#define MQ_FLEET_RETURN_FAILURE_RATE 230U
/* Failure rate below which the ejection backoff is reset.  */
#define MQ_FLEET_HEALTHY_FAILURE_RATE 100U
/* Duration of the first ejection; doubled for each further one up to the
   maximum.  */
#define MQ_FLEET_EJECT_MS 1000U
#define MQ_FLEET_EJECT_MAX_MS 8000U
/* Percentage of a service's workers above which ejections are ignored, as the
   cause is then likely not the workers.  */
#define MQ_FLEET_EJECT_MAX_PERCENT 50U
/* Requests above the mean of its service at which a worker loses affinity
   requests to other workers.  */
#define MQ_FLEET_AFFINITY_EXCESS_MAX 30U
/* Requests above the mean of its service, in percent of its slots, at which a
   worker is full for affinity requests when the mean load fills the slots.

   Guards against moving programs while all workers have queues: the target
   must process the prompt again, which slows it and duplicates cache
   contents, without a shorter wait.  With a higher percentage, a worker that
   is loaded beyond the others keeps its programs too long.  */
#define MQ_FLEET_AFFINITY_QUEUE_PERCENT 50U
/* Recent mean time to an answer, as a multiple, after which a worker that has
   sent nothing is doubtful; between the objective and this part of it.  */
#define MQ_FLEET_DOUBT_FACTOR 3U
#define MQ_FLEET_DOUBT_OBJECTIVE_DIVISOR 4U
/* Doubt ends after this time without requests to the worker, so that it gets
   one again.  */
#define MQ_FLEET_DOUBT_MAX_MS 8000U
/* Time for which a version counts after its last worker left: longer than any
   stream and the pauses before its caller resumes it.  */
#define MQ_FLEET_VERSION_MEMORY_MS 60000U

/**
 * struct mq_fleet_member - registry entry of a worker
 * @id: worker id, kept across restarts
 * @address: "IP:PORT"
 * @version: version of its software; NULL if unknown
 * @slots: requests that it runs concurrently
 * @leaving: accepts no new requests
 * @born_ms: start time by the worker's clock, Unix milliseconds, 0 if unknown
 */
struct mq_fleet_member
{
  const char *id;
  const char *service;
  const char *address;
  const char *data_centre;
  const char *version;
  uint32_t slots;
  bool leaving;
  uint64_t born_ms;
};

/* Result of a request to a worker, for health tracking.  */
enum mq_fleet_outcome
{
  MQ_OUTCOME_SUCCEEDED,   /* complete response */
  MQ_OUTCOME_FULL,        /* rejected, no free slot */
  MQ_OUTCOME_FAILED,      /* response truncated, malformed or an error */
  MQ_OUTCOME_UNREACHABLE, /* no connection, or closed before any data */
  MQ_OUTCOME_LEAVING,     /* rejected, worker is leaving or was replaced */
  MQ_OUTCOME_CANCELLED    /* cancelled by this host or the caller */
};

/* Load of a worker with all slots in use and no queue.  */
#define MQ_FLEET_LOAD_FULL 1000U
/* Mean response delay, in percent of the objective, that corresponds to
   MQ_FLEET_LOAD_FULL.  The rest allows for variance.  */
#define MQ_FLEET_DELAY_FULL_PERCENT 60U

/**
 * struct mq_fleet_query - criteria for worker selection
 * @data_centre: data centre of this host, preferred at equal load
 * @key: affinity key; requests with equal keys go to the same worker unless it
 *       is full
 * @has_key: false to choose the least loaded worker
 * @home: worker with the program's cache, from mq_fleet_choose_home; takes
 *        precedence over @key; 0 if none
 * @home_full: @home has just rejected the program, and counts as full
 * @version: digest of the only version that may serve the request, 0 for any
 * @drain_ms: time after which a leaving worker may no longer be chosen; 0 if
 *            it may not at all.  Only for requests with @version
 * @once: the request may not be repeated; doubtful workers are avoided
 * @objective_ms: target response time, 0 if none
 * @avoided: set to whether a doubtful worker was passed over, unless NULL
 * @evidence: what other hosts tell of workers, for requests with @once; NULL
 * if none
 * @tried: workers that the request was already sent to
 * @now_ms: monotonic clock
 * @random: random number for tie-breaking
 */
struct mq_fleet_query
{
  const char *service;
  const char *data_centre;
  uint64_t key;
  bool has_key;
  uint64_t home;
  bool home_full;
  uint64_t version;
  uint32_t drain_ms;
  bool once;
  uint32_t objective_ms;
  bool *avoided;
  const struct mq_evidence *evidence;
  const uint32_t *tried;
  size_t tried_count;
  uint64_t now_ms;
  uint64_t random;
};

struct mq_fleet *mq_fleet_create (TALLOC_CTX *ctx);
void mq_fleet_destroy (struct mq_fleet *fleet);

/* Sets the time of the changes that follow, local monotonic clock.  */
void mq_fleet_set_time (struct mq_fleet *fleet, uint64_t now_ms);
/* Adds or updates a worker.  Returns false if out of memory.  *CHANGED, unless
   NULL, is set if the entry changed.

   A restarted worker gets a new handle, so that it does not inherit the
   address, connections and failures of the previous start.  Entries of an
   earlier start, or without a start time if one is known, are ignored.  */
bool mq_fleet_put (struct mq_fleet *fleet,
                   const struct mq_fleet_member *member, bool *changed);
/* Removes a worker that left the registry at UNTIL_MS, 0 for now, unless
   mq_fleet_put adds it again.  Its handle is valid until the last request
   ends.  Returns false if the worker is unknown.  */
bool mq_fleet_remove (struct mq_fleet *fleet, const char *id,
                      uint64_t until_ms);
/* Bracket a full list: mq_fleet_list_end removes workers that were not put
   since mq_fleet_list_begin, as mq_fleet_remove does.  */
void mq_fleet_list_begin (struct mq_fleet *fleet);
void mq_fleet_list_end (struct mq_fleet *fleet, uint64_t until_ms);
/* Removes workers whose removal time has passed.  */
void mq_fleet_expire (struct mq_fleet *fleet, uint64_t now_ms);

/* Start time of the worker ID, 0 if unknown.  */
uint64_t mq_fleet_start_time_ms (const struct mq_fleet *fleet, const char *id);
/* Returns all listed workers, allocated under CTX, or NULL if out of memory.
   Their strings belong to FLEET.  */
struct mq_fleet_member *mq_fleet_list (const struct mq_fleet *fleet,
                                       TALLOC_CTX *ctx, size_t *count);
/* Order-independent digest of a list of workers.  */
uint64_t mq_fleet_digest (const struct mq_fleet_member *list, size_t count);
/* Returns the worker for a request, or MQ_WORKER_NONE.  */
uint32_t mq_fleet_choose (struct mq_fleet *fleet,
                          const struct mq_fleet_query *query);
/**
 * mq_fleet_choose_home - choose the home of a new program
 * @fleet: the fleet
 * @query: selection criteria; the key is ignored
 *
 * Chooses the least loaded of a few workers: those that reported their load
 * last, and random ones.  Each report reaches only one host, so hosts that
 * start programs at the same time tend to choose different workers.  Every
 * host sends the program's turns to its home.
 *
 * Return: hash of the worker's id, the same at all hosts, or 0 if there is
 * none.
 */
uint64_t mq_fleet_choose_home (const struct mq_fleet *fleet,
                               const struct mq_fleet_query *query);
/* Mean recently reported load of SERVICE's workers, queued requests included,
   in thousandths of their slots; 0 if unknown.  */
uint32_t mq_fleet_service_load (const struct mq_fleet *fleet,
                                const char *service, uint64_t now_ms);
/* Like mq_fleet_service_load, but bounded by the mean response delay, so that
   high load without delay does not count.  A delay of
   MQ_FLEET_DELAY_FULL_PERCENT of the objective is MQ_FLEET_LOAD_FULL.  */
uint32_t mq_fleet_service_pressure (const struct mq_fleet *fleet,
                                    const char *service, uint64_t now_ms);
/* Records that a response of WORKER began after WAIT_MS on a route with the
   objective OBJECTIVE_MS.  */
void mq_fleet_record_delay (struct mq_fleet *fleet, uint32_t worker,
                            uint32_t wait_ms, uint32_t objective_ms,
                            uint64_t now_ms);
/* Valid while a request holds the handle or the worker is listed.  */
const struct mq_fleet_member *mq_fleet_member (const struct mq_fleet *fleet,
                                               uint32_t worker);
/* Digest that distinguishes successive workers with the same handle.  */
uint64_t mq_fleet_instance_digest (const struct mq_fleet *fleet,
                                   uint32_t worker);
/* Whether WORKER is listed and not leaving.  */
bool mq_fleet_is_available (const struct mq_fleet *fleet, uint32_t worker);
/* Whether the known load of WORKER exceeds its slots.  */
bool mq_fleet_has_queue (const struct mq_fleet *fleet, uint32_t worker,
                         uint64_t now_ms);
/* Hash of the id of WORKER, which is the same at all hosts.  */
uint64_t mq_fleet_worker_id_hash (const struct mq_fleet *fleet,
                                  uint32_t worker);
/* The listed worker with this hash of its id and this
   mq_fleet_instance_digest; MQ_WORKER_NONE if there is none.  */
uint32_t mq_fleet_find_start (const struct mq_fleet *fleet, uint64_t id_hash,
                              uint64_t instance);
/* Whether data arrived after SINCE_MS from any worker but INSTANCE, a
   mq_fleet_instance_digest.  */
bool mq_fleet_heard_other (const struct mq_fleet *fleet, uint64_t instance,
                           uint64_t since_ms);
/* Requests of this host in progress at WORKER.  */
uint32_t mq_fleet_own_requests (const struct mq_fleet *fleet, uint32_t worker);
/* Record the start and end of a request at WORKER, in pairs.  */
void mq_fleet_request_started (struct mq_fleet *fleet, uint32_t worker,
                               uint64_t now_ms);
void mq_fleet_request_ended (struct mq_fleet *fleet, uint32_t worker,
                             enum mq_fleet_outcome outcome, uint64_t now_ms);
/* Records data received from WORKER.  */
void mq_fleet_record_activity (struct mq_fleet *fleet, uint32_t worker,
                               uint64_t now_ms);
/* Time at which data last arrived from WORKER, 0 if never.  */
uint64_t mq_fleet_last_activity_ms (const struct mq_fleet *fleet,
                                    uint32_t worker);
/* Records the load that WORKER reported in a response.  */
void mq_fleet_record_load (struct mq_fleet *fleet, uint32_t worker,
                           uint32_t running, uint32_t waiting,
                           uint64_t now_ms);
/* Records how long work takes on the machine of WORKER, as it told, in percent
   of the usual time.  */
void mq_fleet_record_speed (struct mq_fleet *fleet, uint32_t worker,
                            uint32_t percent, uint64_t now_ms);
/* Records the time of a complete request at WORKER.  */
void mq_fleet_record_time (struct mq_fleet *fleet, uint32_t worker,
                           const struct mq_speed_sample *sample,
                           uint64_t now_ms);
/* Predicted time of a request at WORKER as a part of the usual time, in
   thousandths.  */
uint32_t mq_fleet_speed (const struct mq_fleet *fleet, uint32_t worker,
                         uint64_t now_ms);
/**
 * struct mq_fleet_slow - a worker at which work takes longer than usual
 * @factor: as mq_fleet_speed
 */
struct mq_fleet_slow
{
  const struct mq_fleet_member *member;
  uint32_t factor;
};

/* Fills LIST with the slowest workers, at most MAX, and returns how many there
   are.  Only those that told or showed it are listed.  */
size_t mq_fleet_slowest (const struct mq_fleet *fleet,
                         struct mq_fleet_slow *list, size_t max,
                         uint64_t now_ms);
/* Versions are told by a digest of the service and the version of its
   software; 0 if unknown.  */

uint64_t mq_fleet_version_digest (const struct mq_fleet_member *member);
uint64_t mq_fleet_worker_version (const struct mq_fleet *fleet,
                                  uint32_t worker);
/* Version of the worker HOME, as chosen by mq_fleet_choose_home.  */
uint64_t mq_fleet_home_version (const struct mq_fleet *fleet, uint64_t home);
/* Version of most workers of SERVICE.  */
uint64_t mq_fleet_common_version (const struct mq_fleet *fleet,
                                  const char *service);
/* Whether a worker of VERSION is listed, even if it is leaving.  */
bool mq_fleet_has_version (const struct mq_fleet *fleet, const char *service,
                           uint64_t version);
/* The only version that SERVICE has had for the last MEMORY_MS, at most
   MQ_FLEET_VERSION_MEMORY_MS; 0 if there were several, or the service is not
   known for that long.  */
uint64_t mq_fleet_sole_version (const struct mq_fleet *fleet,
                                const char *service, uint32_t memory_ms,
                                uint64_t now_ms);
/* Whether the row of SERVICE in the table names VERSION, as far as this host
   knows.  Forgotten once VERSION has been away for half of
   MQ_FLEET_VERSION_MEMORY_MS: another host may have dropped it.  */
bool mq_fleet_is_recorded (const struct mq_fleet *fleet, const char *service,
                           uint64_t version);
/* Whether that row named several versions.  */
bool mq_fleet_recorded_several (const struct mq_fleet *fleet,
                                const char *service);
/* The version that the row named alone; 0 if there was none, or if another one
   has been listed since.  */
uint64_t mq_fleet_recorded_sole (const struct mq_fleet *fleet,
                                 const char *service);
/* Whether the row names all versions of listed workers, of which there are
   some.  */
bool mq_fleet_all_recorded (const struct mq_fleet *fleet, const char *service);
/* Version of most workers of SERVICE that the row names, 0 if none.  */
uint64_t mq_fleet_recorded_version (const struct mq_fleet *fleet,
                                    const char *service);
/* When VERSION is settled (streams.h), by the table's clock; 0 if unknown.  */
uint64_t mq_fleet_settled_s (const struct mq_fleet *fleet, const char *service,
                             uint64_t version);
/* A listed version for which the row has to be read, 0 if none.  */
uint64_t mq_fleet_unrecorded_version (const struct mq_fleet *fleet,
                                      const char *service);
/* The row of SERVICE names VERSION, alone if SOLE, and settled from SETTLED_S
   on.  */
void mq_fleet_set_recorded (struct mq_fleet *fleet, const char *service,
                            uint64_t version, bool sole, uint64_t settled_s);
/**
 * struct mq_fleet_service_report - a service's workers, for metrics
 * @service: its name, valid until the next change of the fleet
 * @load: mean recently reported load, thousandths of the slots; 0 if unknown
 * @pressure: mq_fleet_service_pressure
 * @available: workers that accept requests, ejected ones included
 * @ejected: workers that this host leaves out
 */
struct mq_fleet_service_report
{
  const char *service;
  uint32_t load;
  uint32_t pressure;
  uint32_t available;
  uint32_t ejected;
};

/* Writes the services of the listed workers to REPORTS; returns how many it
   wrote, MAX at most.  */
size_t mq_fleet_report_services (const struct mq_fleet *fleet,
                                 struct mq_fleet_service_report *reports,
                                 size_t max, uint64_t now_ms);
/* Writes the workers that this host leaves out to MEMBERS; returns how many it
   wrote, MAX at most.  Their strings belong to FLEET.  */
size_t mq_fleet_report_ejected (const struct mq_fleet *fleet,
                                const struct mq_fleet_member **members,
                                size_t max, uint64_t now_ms);
/* Whether there were requests that may not be repeated.  */
bool mq_fleet_has_once (const struct mq_fleet *fleet);
/* Records that WORKER has not answered a request sent at SENT_MS.  Returns
   whether that is late: as long as the objective of requests of its service
   that may not be repeated.  The request may have ended, and WORKER left.  */
bool mq_fleet_record_wait (struct mq_fleet *fleet, uint32_t worker,
                           uint64_t sent_ms, uint64_t now_ms);
/* Tells EVIDENCE what this host sees of each worker; called between
   mq_evidence_scan_begin and mq_evidence_scan_end.  */
void mq_fleet_scan (const struct mq_fleet *fleet, struct mq_evidence *evidence,
                    uint64_t now_ms);
/* Number of listed workers of all services.  */
size_t mq_fleet_listed (const struct mq_fleet *fleet);
/* The worker with this mq_fleet_instance_digest; NULL if unknown.  */
const struct mq_fleet_member *
mq_fleet_find_instance (const struct mq_fleet *fleet, uint64_t instance);
/* Number of available workers of SERVICE.  */
size_t mq_fleet_count (const struct mq_fleet *fleet, const char *service);
/* Retry delay for callers when no worker of SERVICE has a free slot.  */
uint32_t mq_fleet_retry_ms (const struct mq_fleet *fleet, const char *service);

#endif
