/* route.h - which service serves a request, by host and longest prefix.

   A table is built whole from one version of the configuration and never
   changes; a newer version replaces it.  Pure.
   Needs: types.h, id.h, orgs.h.  */

#ifndef MQ_ROUTE_H
#define MQ_ROUTE_H

#include "../organisation/orgs.h"
#include "../types.h"

/* What may be done with a request whose outcome is not known.  */
enum mq_route_kind
{
  MQ_ROUTE_IDEMPOTENT,   /* it may run again at another worker */
  MQ_ROUTE_AT_MOST_ONCE, /* it runs once at most */
  MQ_ROUTE_STREAM        /* events; once, unless the route is resumable */
};

#define MQ_ROUTE_KINDS 3

/* One of the services among which a route divides its requests.  */
struct mq_route_backend
{
  const char *service;
  uint32_t weight;
};

/**
 * struct mq_path_route - where the requests of one host and prefix go
 * @name: the operators' name of it
 * @host: value of the Host field, without a port
 * @prefix: begins and ends with a slash
 * @kind: what may be repeated
 * @resumable: a stream may go on at another worker after its last event
 * @retains: turns are kept so that later turns may continue from them
 * @retain_s: how long, seconds
 * @sticky: requests for the same object go to the same worker
 * @timeout_ms: longest time that a request is kept waiting
 * @objective_ms: time within which an answer is on time
 * @gap_ms: longest pause between events of a stream that is on time
 * @attempts: workers that one request may be sent to
 * @priority: 0 is the most urgent
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
 * struct mq_route_service - what all workers of one service share
 * @name: the operators' name of it
 * @connections_max: connections that one worker takes from all hosts
 * @engine: its workers are model engines
 * @slots: requests that an engine runs side by side, 0: not told
 * @cache_tokens: memory of an engine, in tokens
 * @tokens_per_event: tokens that each event of a stream stands for
 * @pin_max_ms: longest time that a worker keeps a prompt in memory on request
 */
struct mq_route_service
{
  const char *name;
  uint32_t connections_max;
  bool engine;
  uint32_t slots;
  uint32_t cache_tokens;
  uint32_t tokens_per_event;
  uint32_t pin_max_ms;
};

/* Bounds on what a caller sends and how long it may take.  */
struct mq_route_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_ms;
  uint32_t idle_ms;
};

/**
 * struct mq_route_table - one version of the configuration
 * @version: only rises
 * @routes: sorted by mq_route_table_sort
 * @orgs: organisations whose keys callers must have, NULL: none is asked for
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

/* Puts the routes in the order that mq_route_find needs.  */
void mq_route_table_sort (struct mq_route_table *table);
/* Route of HOST, whose port is ignored, with the longest prefix that begins
   PATH; NULL when there is none.  */
const struct mq_path_route *mq_route_find (const struct mq_route_table *table,
                                           const char *host, const char *path);
/* Service of ROUTE for KEY, by weight: the same key gives the same service
   as long as the weights stay.  */
const char *mq_route_service (const struct mq_path_route *route, uint64_t key);
const struct mq_route_service *
mq_route_service_find (const struct mq_route_table *table, const char *name);
/* TOKENS in whole events of SERVICE, NULL: not known, rounded up.  */
uint64_t mq_route_round_to_events (const struct mq_route_service *service,
                                   uint64_t tokens);
/* Key by which all hosts choose the same worker without asking each other, for
   requests that gain from one worker's cache: those of one PROGRAM on
   engines, those on one OBJECT elsewhere, when the route asks for it.  False
   when there is none.  */
bool mq_route_affinity_key (const struct mq_path_route *route,
                            const struct mq_route_service *service,
                            const char *program, const char *object,
                            uint64_t *key);
/* A request of ROUTE may run more than once.  */
bool mq_route_repeatable (const struct mq_path_route *route);

#endif
