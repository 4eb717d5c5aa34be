/* route.h - routing table: maps requests to services by host and longest
   prefix.

   A table is built from one configuration version and is immutable; a newer
   version replaces it.  Pure.
   Needs: types.h, id.h, orgs.h.  */

#ifndef MQ_ROUTE_H
#define MQ_ROUTE_H

#include "../organisation/orgs.h"
#include "../types.h"

/* Whether a request with an unknown outcome may be repeated.  */
enum mq_route_kind
{
  MQ_ROUTE_IDEMPOTENT,   /* may run again at another worker */
  MQ_ROUTE_AT_MOST_ONCE, /* runs at most once */
  MQ_ROUTE_STREAM        /* event stream, at most once unless resumable */
};

#define MQ_ROUTE_KINDS 3

/* Weighted service of a route.  */
struct mq_route_backend
{
  const char *service;
  uint32_t weight;
};

/**
 * struct mq_path_route - route for one host and path prefix
 * @name: configured name
 * @host: value of the Host field without the port
 * @prefix: path prefix that begins and ends with a slash
 * @resumable: another worker may continue a stream after its last event
 * @retains: turns are stored so that later turns can continue them
 * @retain_s: retention period of turns
 * @sticky: requests for the same object go to the same worker
 * @timeout_ms: maximum duration of a request
 * @objective_ms: target response time
 * @gap_ms: target for the longest gap between events of a stream
 * @attempts: maximum number of workers that a request is sent to
 * @priority: 0 is the highest
 * @is_public: callers need no key
 * @backends: at least one
 */
struct mq_path_route
{
  const char *name;
  const char *host;
  const char *prefix;
  enum mq_route_kind kind;
  bool resumable;
  bool retains;
  uint32_t retain_s;
  bool sticky;
  uint32_t timeout_ms;
  uint32_t objective_ms;
  uint32_t gap_ms;
  uint32_t attempts;
  uint32_t priority;
  bool is_public;
  struct mq_route_backend *backends;
  size_t backend_count;
};

/**
 * struct mq_route_service - settings of a service
 * @name: configured name
 * @health_path: path of the health check; "" if none
 * @connections_max: maximum connections to one worker from all hosts
 * @engine: the workers are model engines
 * @slots: requests that an engine runs concurrently, 0 if unknown
 * @cache_tokens: cache size of an engine in tokens
 * @tokens_per_event: tokens per event of a stream
 * @pin_max_ms: maximum time that a worker pins a prompt in its cache
 */
struct mq_route_service
{
  const char *name;
  const char *health_path;
  uint32_t connections_max;
  bool engine;
  uint32_t slots;
  uint32_t cache_tokens;
  uint32_t tokens_per_event;
  uint32_t pin_max_ms;
};

/* Size and time limits of requests.  */
struct mq_route_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_ms;
  uint32_t idle_ms;
};

/**
 * struct mq_route_table - routing configuration
 * @version: increases monotonically
 * @routes: sorted by mq_route_table_sort
 * @orgs: organisations whose keys are accepted, NULL if no key is required
 */
struct mq_route_table
{
  uint64_t version;
  struct mq_path_route *routes;
  size_t route_count;
  struct mq_route_service *services;
  size_t service_count;
  struct mq_route_limits limits;
  struct mq_orgs *orgs;
};

/* Sorts the routes as mq_route_find requires.  */
void mq_route_table_sort (struct mq_route_table *table);
/* Returns the route of HOST, ignoring its port, with the longest prefix of
   PATH, or NULL.  */
const struct mq_path_route *mq_route_find (const struct mq_route_table *table,
                                           const char *host, const char *path);
/* Returns the service of ROUTE for KEY, by weight.  Equal keys give the same
   service while the weights are unchanged.  */
const char *mq_route_service (const struct mq_path_route *route, uint64_t key);
const struct mq_route_service *
mq_route_service_find (const struct mq_route_table *table, const char *name);
/* Rounds TOKENS up to whole events of SERVICE, NULL if unknown.  */
uint64_t mq_route_round_to_events (const struct mq_route_service *service,
                                   uint64_t tokens);
/* Computes the affinity key, by which all hosts choose the same worker without
   coordination: from PROGRAM on engines, from OBJECT on other services if the
   route is sticky.  Returns false if the request has none.  */
bool mq_route_affinity_key (const struct mq_path_route *route,
                            const struct mq_route_service *service,
                            const char *program, const char *object,
                            uint64_t *key);
/* Whether a request of ROUTE may run more than once.  */
bool mq_route_repeatable (const struct mq_path_route *route);

#endif
