/* fleet_state.h - what the parts of the fleet share.

   fleet.c has the table; above it fleet_load.c (requests at each worker and
   service) and fleet_evidence.c (how requests ended); fleet_choice.c (which
   worker is next) is on top and asks the table and the load.
   Needs: fleet.h, idmap.h, recent.h.  */

#ifndef MQ_FLEET_STATE_H
#define MQ_FLEET_STATE_H

#include "fleet.h"
#include "../idmap.h"
#include "recent.h"

/* Load in thousandths of a request, so that aged figures need no fractions. */
#define LOAD_UNIT 1000U

/**
 * struct fleet_entry - one worker
 * @member: strings below the fleet
 * @hash: of its id
 * @stamp: of its id, start, service and address
 * @replaced: a later start has its id; it stays for the requests under way
 * @used: the slot of the table is taken
 * @listed: the registry has it
 * @seen: the list under way has it
 * @removal_ms: the registry has it no more; it is taken as gone from then on,
 *             0: it has it
 * @refused: it said itself that it takes no more work
 * @own: requests of this host at it
 * @others: requests that it told beyond those of this host
 * @told_ms: when it told so, 0: never
 * @heard_ms: when bytes last came from it
 * @failures: in a row
 * @rate: share of failures among the last requests, thousandths, smoothed
 * @outs: times that it was left out in a row
 * @ejected_until_ms: no requests before this time
 */
struct fleet_entry
{
  struct mq_fleet_member member;
  uint64_t hash;
  uint64_t stamp;
  bool used;
  bool replaced;
  bool listed;
  bool seen;
  uint64_t removal_ms;
  bool refused;
  uint32_t own;
  uint32_t others;
  uint64_t told_ms;
  uint64_t heard_ms;
  uint32_t failures;
  uint32_t rate;
  uint32_t outs;
  uint64_t ejected_until_ms;
};

/* Numbers in the map of workers.  */
#define FLEET_BY_ID 0U
#define FLEET_BY_HASH 1U

/**
 * struct fleet_service - the answers of a service's workers
 * @loads: of their worker's slots
 * @waits: until they began, of their route's objective
 */
struct fleet_service
{
  struct mq_recent loads;
  struct mq_recent waits;
};

/**
 * struct mq_fleet - the table of workers
 * @by_id: position of the worker's entry, plus one, as a pointer; under its id
 *         and, with FLEET_BY_HASH, under the hash that names it to other hosts
 * @services: by name, struct fleet_service
 * @free_from: no entry before it is free
 */
struct mq_fleet
{
  struct fleet_entry *entries;
  size_t count;
  struct mq_idmap *by_id;
  struct mq_idmap *services;
  size_t free_from;
};

/* It may be sent to.  */
bool fleet_is_available (const struct fleet_entry *entry);
bool fleet_is_candidate (const struct fleet_entry *entry, const char *service);
/* Frees the entry of a worker that is gone once no request is there.  */
void fleet_free_if_idle (struct mq_fleet *fleet, struct fleet_entry *entry);

/* The listed worker of which HASH is the hash, NULL: there is none.  */
struct fleet_entry *fleet_find_hash (const struct mq_fleet *fleet,
                                     uint64_t hash);

/* fleet_load.c */

/* What answers of SERVICE's workers told lately, NULL: nothing ever.  */
const struct fleet_service *fleet_find_service (const struct mq_fleet *fleet,
                                                const char *service);

/* Requests at the worker in LOAD_UNITs: our own, and those of other hosts as
   last told, which count less the older the figure is.  */
uint64_t fleet_decayed_load (const struct fleet_entry *entry, uint64_t now_ms);
/* The same where MEAN requests are at a worker of the service, 0: not known.
   A worker of which nothing was told lately counts as one of them.

   Failure: such a worker counts as idle, so that one which just told of a
   short queue seems full beside the others; its programs go elsewhere and
   their histories are read again, while all workers wait alike.  */
uint64_t fleet_estimate_load (const struct fleet_entry *entry, uint64_t mean,
                              uint64_t now_ms);
/* It had no room for a request of ours.  */
void fleet_mark_full (struct fleet_entry *entry, uint64_t now_ms);

#endif
