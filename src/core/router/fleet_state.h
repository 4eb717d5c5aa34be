/* fleet_state.h - internal state of the fleet.

   fleet.c owns the table of workers, fleet_load.c their load,
   fleet_speed.c their speed and fleet_health.c failures and ejection,
   fleet_version.c the versions of services.  fleet_choice.c selects workers
   for requests and fleet_home.c those for programs; both depend on the table
   and the load.  fleet_sight.c tells what this host sees of workers.

   Needs: fleet.h, idmap.h, recent.h, speed.h.  */

#ifndef MQ_FLEET_STATE_H
#define MQ_FLEET_STATE_H

#include "fleet.h"
#include "../idmap.h"
#include "recent.h"
#include "speed.h"

/* Loads are in thousandths of a request.  */
#define LOAD_UNIT 1000U

/**
 * struct fleet_entry - one worker
 * @member: registry entry; the fleet owns its strings
 * @hash: hash of the id
 * @instance: digest of id, start time, service, address and data centre
 * @version: digest of service and software version, 0 if unknown
 * @leaving_ms: time since which it has been leaving; 0 if it is not, or since
 *              before this host knew it
 * @used: the table entry is in use
 * @replaced: a later start has the same id; kept for requests in progress
 * @listed: the worker is in the registry or within its removal delay
 * @seen: the worker is in the full list being processed
 * @removal_ms: time at which it is removed after it left the registry, 0 if it
 *              has not left
 * @draining: the worker reported that it accepts no more requests
 * @own: requests of this host in progress
 * @others: reported requests of other hosts
 * @reported_ms: time of the last load report, 0 if none
 * @heard_ms: time at which data last arrived
 * @asked_ms: time at which the oldest request without data since was sent, 0
 *            if there is none; kept when it fails
 * @late_ms: time at which a request to it was last found late, 0 if never
 * @failures: consecutive failures
 * @failure_rate: moving average, thousandths
 * @ejections: consecutive ejections
 * @ejected_until_ms: end of the current ejection
 * @speed: how long work takes at the worker
 */
struct fleet_entry
{
  struct mq_fleet_member member;
  uint64_t hash;
  uint64_t instance;
  uint64_t version;
  uint64_t leaving_ms;
  bool used;
  bool replaced;
  bool listed;
  bool seen;
  uint64_t removal_ms;
  bool draining;
  uint32_t own;
  uint32_t others;
  uint64_t reported_ms;
  uint64_t heard_ms;
  uint64_t asked_ms;
  uint64_t late_ms;
  uint32_t failures;
  uint32_t failure_rate;
  uint32_t ejections;
  uint64_t ejected_until_ms;
  struct mq_speed speed;
};

/* Weight of one answer in fleet_service.answer_ms is 1 / ANSWER_WEIGHT.  */
#define ANSWER_WEIGHT 8U

/* Key spaces of mq_fleet.by_id.  */
#define FLEET_BY_ID 0U
#define FLEET_BY_HASH 1U

/**
 * struct fleet_version - one software version of a service
 * @listed: its workers in the table
 * @seen_ms: time at which a worker was last added or removed
 * @recorded: named by the service's row in the table (streams.h)
 * @settled_s: when that row says that it is settled; 0 if unknown
 */
struct fleet_version
{
  uint64_t version;
  uint32_t listed;
  uint64_t seen_ms;
  bool recorded;
  uint64_t settled_s;
};

/**
 * struct fleet_service - recent responses of a service's workers, and versions
 * @loads: reported load, thousandths of the worker's slots
 * @waits: delay until the response began, thousandths of the objective
 * @answer_ms: moving average of the time until a worker sent data, in
 *             1 / ANSWER_WEIGHT milliseconds, 0 if unknown
 * @speed: how long work takes at its workers
 * @first_ms: time at which its first worker was listed
 * @recorded_several: its row in the table named several versions
 * @recorded_sole: version that the row named alone, 0 if none, or if another
 *                 one was listed since
 * @once_objective_ms: longest objective of requests that may not be repeated,
 * 0 if there were none
 */
struct fleet_service
{
  struct mq_recent loads;
  struct mq_recent waits;
  uint64_t answer_ms;
  struct mq_speed_service speed;
  struct fleet_version *versions;
  size_t version_count;
  uint64_t first_ms;
  bool recorded_several;
  uint64_t recorded_sole;
  uint32_t once_objective_ms;
};

/**
 * struct mq_fleet - table of workers
 * @by_id: index of the entry plus one, as a pointer, by id and by hash
 * @services: struct fleet_service by name
 * @free_from: all entries before this index are in use
 * @now_ms: time of the last mq_fleet_set_time
 * @has_once: there were requests that may not be repeated
 */
struct mq_fleet
{
  struct fleet_entry *entries;
  size_t count;
  struct mq_idmap *by_id;
  struct mq_idmap *services;
  size_t free_from;
  uint64_t now_ms;
  bool has_once;
};

/* Whether the worker accepts requests.  */
bool fleet_is_available (const struct fleet_entry *entry);
bool fleet_is_candidate (const struct fleet_entry *entry, const char *service);
/* Frees the entry if the worker is not listed and has no requests.  */
void fleet_free_if_idle (struct mq_fleet *fleet, struct fleet_entry *entry);

/* Returns the listed worker with the id hash HASH, or NULL.  */
struct fleet_entry *fleet_find_hash (const struct mq_fleet *fleet,
                                     uint64_t hash);

/* fleet_load.c */

/* Returns the record of SERVICE, which is made if there is none.  */
struct fleet_service *fleet_get_service (struct mq_fleet *fleet,
                                         const char *service);
/* Returns NULL if SERVICE is unknown.  */
const struct fleet_service *fleet_find_service (const struct mq_fleet *fleet,
                                                const char *service);

/* Slots of the worker, at least 1.  */
uint64_t fleet_slots (const struct fleet_entry *entry);
/* Load in LOAD_UNITs of a worker whose slots are loaded like REPORTED, the
   mean of its service in thousandths of its slots.  */
uint64_t fleet_mean_load (const struct fleet_entry *entry, uint32_t reported);
/* Load of the worker in LOAD_UNITs: requests of this host plus reported
   requests of other hosts, decayed linearly by age.  */
uint64_t fleet_decayed_load (const struct fleet_entry *entry, uint64_t now_ms);
/* Like fleet_decayed_load, but decays towards the service's MEAN load, 0 if
   unknown.  Guards against treating workers without a recent report as idle,
   which would move programs to them and lose their caches.  */
uint64_t fleet_estimate_load (const struct fleet_entry *entry, uint64_t mean,
                              uint64_t now_ms);
/* Time without data after which a worker of SERVICE is doubtful.  */
uint64_t fleet_patience_ms (const struct mq_fleet *fleet, const char *service,
                            uint32_t objective_ms);
/* Whether a request has waited at the worker for longer than PATIENCE_MS, and
   nothing arrived from it since.  */
bool fleet_is_doubtful (const struct fleet_entry *entry, uint64_t patience_ms,
                        uint64_t now_ms);
/* Records that the worker rejected a request for lack of a free slot.  */
void fleet_mark_full (struct fleet_entry *entry, uint64_t now_ms);

/* fleet_sight.c */

/* Notes a request of SERVICE that may not be repeated.  */
void fleet_note_once (struct mq_fleet *fleet, const char *service,
                      uint32_t objective_ms);

/* fleet_speed.c */

/**
 * struct fleet_work - a request whose time is predicted
 * @duration_ms: time that it or its program takes
 * @shared: it belongs to a program whose history the worker keeps
 * @slowdown: time that a full worker adds, as a multiple of an idle one's
 * @full: load per slot of a worker with all slots in use
 */
struct fleet_work
{
  uint32_t duration_ms;
  bool shared;
  uint32_t slowdown;
  uint64_t full;
};

/* Predicted time of a request that takes DURATION_MS and arrives at LOAD, the
   worker's load per slot: see mq_speed_cost.  SERVICE may be NULL.  */
uint64_t fleet_predict_time (const struct fleet_entry *entry,
                             const struct fleet_service *service,
                             const struct fleet_work *work, uint64_t load,
                             uint64_t now_ms);

/* Load in LOAD_UNITs at which the worker is as good for WORK as others, if
   REPORTED is the mean of its service.  REPORTED as in fleet_mean_load.  */
uint64_t fleet_usual_load (const struct fleet_entry *entry,
                           const struct fleet_service *service,
                           const struct fleet_work *work, uint32_t reported,
                           uint64_t now_ms);

/* fleet_version.c */

/* Sets whether ENTRY is listed, and counts it among the workers of its
   version.  */
void fleet_set_listed (struct mq_fleet *fleet, struct fleet_entry *entry,
                       bool listed);
/* Rows that named one version are to be read again.  */
void fleet_forget_sole_versions (struct mq_fleet *fleet);

#endif
