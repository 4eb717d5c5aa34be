/* route.c - routing table.

   Needs: route.h.  */

#include "route.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

/* Orders by host, then longer prefixes first, so that the first match is the
   longest.  */
static int
compare_routes (const void *left, const void *right)
{
  const struct mq_path_route *a = left;
  const struct mq_path_route *b = right;
  int order = strcmp (a->host, b->host);
  size_t a_len = strlen (a->prefix);
  size_t b_len = strlen (b->prefix);

  if (order != 0)
    return order;
  if (a_len != b_len)
    return a_len > b_len ? -1 : 1;
  return strcmp (a->prefix, b->prefix);
}

void
mq_route_table_sort (struct mq_route_table *table)
{
  if (table->route_count > 0)
    qsort (table->routes, table->route_count, sizeof *table->routes,
           compare_routes);
}

/* Compares a route's host with the first HOST_LEN bytes of HOST.  */
static int
compare_host (const struct mq_path_route *route, const char *host,
              size_t host_len)
{
  int order = strncmp (route->host, host, host_len);

  if (order != 0)
    return order;
  return route->host[host_len] == '\0' ? 0 : 1;
}

/* Index of the first route whose host is not less than HOST.  */
static size_t
first_of_host (const struct mq_route_table *table, const char *host,
               size_t host_len)
{
  size_t low = 0;
  size_t high = table->route_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare_host (&table->routes[middle], host, host_len) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const struct mq_path_route *
mq_route_find (const struct mq_route_table *table, const char *host,
               const char *path)
{
  size_t host_len = strcspn (host, ":");
  size_t path_len = strcspn (path, "?");

  for (size_t i = first_of_host (table, host, host_len);
       i < table->route_count; i++)
    {
      const struct mq_path_route *route = &table->routes[i];
      size_t prefix_len = strlen (route->prefix);

      if (compare_host (route, host, host_len) != 0)
        return NULL;
      if (prefix_len <= path_len
          && memcmp (route->prefix, path, prefix_len) == 0)
        return route;
    }
  return NULL;
}

const char *
mq_route_service (const struct mq_path_route *route, uint64_t key)
{
  uint64_t total = 0;
  uint64_t at;

  for (size_t i = 0; i < route->backend_count; i++)
    total += route->backends[i].weight;
  if (total == 0)
    return route->backends[0].service;
  at = key % total;
  for (size_t i = 0; i < route->backend_count; i++)
    {
      if (at < route->backends[i].weight)
        return route->backends[i].service;
      at -= route->backends[i].weight;
    }
  return route->backends[route->backend_count - 1].service;
}

const struct mq_route_service *
mq_route_service_find (const struct mq_route_table *table, const char *name)
{
  for (size_t i = 0; i < table->service_count; i++)
    if (strcmp (table->services[i].name, name) == 0)
      return &table->services[i];
  return NULL;
}

uint64_t
mq_route_round_to_events (const struct mq_route_service *service,
                          uint64_t tokens)
{
  uint64_t step = service == NULL ? 1 : service->tokens_per_event;

  if (step == 0)
    step = 1;
  return (tokens + step - 1) / step * step;
}

bool
mq_route_affinity_key (const struct mq_path_route *route,
                       const struct mq_route_service *service,
                       const char *program, const char *object, uint64_t *key)
{
  const char *text = NULL;

  if (service != NULL && service->engine)
    text = program;
  else if (route->sticky)
    text = object;
  if (text == NULL)
    return false;
  *key = mq_hash_bytes (text, strlen (text), 0);
  return true;
}

bool
mq_route_repeatable (const struct mq_path_route *route)
{
  switch (route->kind)
    {
    case MQ_ROUTE_IDEMPOTENT:
      return true;
    case MQ_ROUTE_AT_MOST_ONCE:
      return false;
    case MQ_ROUTE_STREAM:
      return route->resumable;
    }
  return false;
}
